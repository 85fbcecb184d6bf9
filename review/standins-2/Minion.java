import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A minion as the pages describe it: it takes starts, stops and renewals of its lease, lists what
 * runs and what has ended, and sends heartbeats. A task works for the milliseconds after "ms=" in
 * its Spec.
 */
final class Minion {

  static final long MAX_HOLD_MILLIS = 10_000;
  private static final long HEARTBEAT_MILLIS = 1_500;
  private static final int MAX_LISTED = 500;
  /** The time that a task takes to end after a stop; StopTimeoutMs, its limit, is 400. */
  private static final long STOP_MILLIS = 250;

  final String id;
  final String ip;
  final String service;
  private final String zone;
  private final String rack;
  private final long cpu;
  private final List<String> controls;
  private final Lab lab;
  final long born = System.currentTimeMillis();
  private final long startNanos = System.nanoTime() - 1_000_000_000L;
  private final Map<String, Running> running = new LinkedHashMap<>();
  private final List<Ended> ended = new ArrayList<>();
  private final Map<String, Integer> stoppedRuns = new LinkedHashMap<>();
  private long endNumber;
  private long fence;
  private long leaseUntil;
  private long sequence;
  private volatile int acknowledgedCount;
  private volatile boolean stopped;
  private volatile boolean silent;
  /** Checks the runs of all minions; null where a case has too many of them. */
  Judge judge;
  private ServerSocket server;
  /** Starts that began a task, of all minions. */
  static final AtomicInteger STARTS = new AtomicInteger();
  /** Ends listed as done and confirmed by LastSeen, of all minions. */
  static final AtomicInteger DONE = new AtomicInteger();
  /** Tasks that ended because their lease lapsed, of all minions. */
  static final AtomicInteger LAPSED = new AtomicInteger();

  private static final class Running {
    final String task;
    final int run;
    final long startedMillis;
    final long workMillis;
    /** The time at which a stopped task ends. */
    long stopAtMillis = Long.MAX_VALUE;

    Running(String task, int run, long startedMillis, long workMillis) {
      this.task = task;
      this.run = run;
      this.startedMillis = startedMillis;
      this.workMillis = workMillis;
    }
  }

  private record Ended(long number, String task, int run, String how) {}

  Minion(
      Lab lab, String id, String ip, String service, String zone, String rack, long cpu,
      List<String> controls) {
    this.lab = lab;
    this.id = id;
    this.ip = ip;
    this.service = service;
    this.zone = zone;
    this.rack = rack;
    this.cpu = cpu;
    this.controls = controls;
  }

  void start() throws IOException {
    server = new ServerSocket();
    server.bind(new InetSocketAddress(InetAddress.getByName(ip), Lab.MINION), 200);
    daemon("minion-" + id, this::accept);
    daemon("clock-" + id, this::advanceAlways);
    daemon("heartbeat-" + id, this::heartbeatAlways);
  }

  void stop() {
    stopped = true;
    try {
      if (server != null) {
        server.close();
      }
    } catch (IOException e) {
      // The socket is gone either way.
    }
  }

  long clock() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  private static void daemon(String name, Runnable body) {
    Thread thread = new Thread(body, name);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    while (!stopped) {
      try {
        Socket socket = server.accept();
        daemon("call-" + id, () -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = socket.getInputStream();
      OutputStream out = socket.getOutputStream();
      while (!stopped) {
        String first = Lab.Http.readLine(in);
        if (first.isEmpty()) {
          return;
        }
        int length = 0;
        String expected = "";
        for (String line = Lab.Http.readLine(in); !line.isEmpty(); line = Lab.Http.readLine(in)) {
          String lower = line.toLowerCase();
          if (lower.startsWith("content-length:")) {
            length = Integer.parseInt(lower.substring(15).trim());
          } else if (lower.startsWith("x-hickoryspar-expect-instance:")) {
            expected = line.substring(line.indexOf(':') + 1).trim();
          }
        }
        String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
        String[] answer = answer(first.split(" ")[1], expected, body);
        byte[] bytes = answer[1].getBytes(StandardCharsets.UTF_8);
        out.write(
            ("HTTP/1.1 " + answer[0] + " x\r\nContent-Type: application/json\r\nContent-Length: "
                    + bytes.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1));
        out.write(bytes);
        out.flush();
      }
    } catch (IOException e) {
      // The caller has closed the connection.
    }
  }

  private String[] answer(String path, String expected, String body) throws IOException {
    if (!expected.isEmpty() && !expected.equals(id)) {
      return reply(421, "");
    }
    switch (path) {
      case "/hold":
        return hold(body);
      case "/run-start":
        return runStart(body);
      case "/run-stop":
        return runStop(body);
      default:
        return reply(404, "");
    }
  }

  private String[] reply(int status, String fields) {
    return new String[] {
      Integer.toString(status),
      "{\"ClockMs\":" + clock() + ",\"born\":" + born + (fields.isEmpty() ? "" : "," + fields) + "}"
    };
  }

  private synchronized boolean fenced(long token) {
    if (token < fence) {
      return true;
    }
    fence = token;
    return false;
  }

  private synchronized void extend(long deadline) {
    leaseUntil = Math.max(leaseUntil, Math.min(deadline, clock() + MAX_HOLD_MILLIS));
  }

  private String[] hold(String body) {
    if (fenced(number(body, "FencingToken"))) {
      return reply(409, "\"Reason\":\"fence\"");
    }
    extend(number(body, "DeadlineMs"));
    long lastSeen = number(body, "LastSeen");
    long waitUntil = clock() + number(body, "WaitMs");
    synchronized (this) {
      if (judge != null) {
        for (Ended end : ended) {
          if (end.number <= lastSeen) {
            judge.takenNoteOf(end.task, end.how);
          }
        }
      }
      ended.removeIf(end -> end.number <= lastSeen);
      while (ended.isEmpty() && clock() < waitUntil && !stopped) {
        try {
          wait(Math.max(1, waitUntil - clock()));
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
          break;
        }
      }
      StringBuilder lists = new StringBuilder("\"Running\":[");
      String separator = "";
      for (Running task : running.values()) {
        long percent = Math.min(99, (clock() - task.startedMillis) * 100 / Math.max(1, task.workMillis));
        lists.append(separator).append("[\"").append(task.task).append("\",").append(task.run)
            .append(",\"\",").append(percent).append(",0]");
        separator = ",";
      }
      lists.append("],\"Ended\":[");
      separator = "";
      for (Ended end : ended.subList(0, Math.min(MAX_LISTED, ended.size()))) {
        lists.append(separator).append('[').append(end.number).append(",\"").append(end.task)
            .append("\",").append(end.run).append(",\"").append(end.how).append("\",\"\"]");
        separator = ",";
      }
      return reply(200, lists.append(']').toString());
    }
  }

  private synchronized String[] runStart(String body) {
    long deadline = number(body, "DeadlineMs");
    String task = text(body, "Task");
    int run = (int) number(body, "Run");
    if (fenced(number(body, "FencingToken"))) {
      return reply(409, "\"Reason\":\"fence\"");
    }
    if (deadline < clock()) {
      return reply(409, "\"Reason\":\"late\"");
    }
    Running present = running.get(task);
    if (present != null && present.run == run) {
      extend(deadline);
      return reply(200, "");
    }
    if (present != null || run <= stoppedRuns.getOrDefault(task, 0)) {
      extend(deadline);
      return reply(409, "\"Reason\":\"old\"");
    }
    extend(deadline);
    Matcher work = Pattern.compile("ms=(\\d+)").matcher(text(body, "Spec"));
    running.put(task, new Running(task, run, clock(), work.find() ? Long.parseLong(work.group(1)) : 1_000));
    STARTS.incrementAndGet();
    if (judge != null) {
      judge.started(this, task, run);
    }
    return reply(200, "");
  }

  private synchronized String[] runStop(String body) {
    if (fenced(number(body, "FencingToken"))) {
      return reply(409, "\"Reason\":\"fence\"");
    }
    String task = text(body, "Task");
    int run = (int) number(body, "Run");
    Running present = running.get(task);
    if (present != null && present.run <= run) {
      present.stopAtMillis = Math.min(present.stopAtMillis, clock() + STOP_MILLIS);
    }
    stoppedRuns.merge(task, run, Math::max);
    return reply(200, "");
  }

  private synchronized void end(Running task, String how) {
    running.remove(task.task);
    if (judge != null) {
      judge.ended(this, task.task, task.run, how);
    }
    ended.add(new Ended(++endNumber, task.task, task.run, how));
    stoppedRuns.merge(task.task, task.run, Math::max);
    if (how.equals("done")) {
      DONE.incrementAndGet();
    } else if (how.equals("lapsed")) {
      LAPSED.incrementAndGet();
    }
    notifyAll();
  }

  private void advanceAlways() {
    while (!stopped) {
      synchronized (this) {
        long now = clock();
        for (Running task : List.copyOf(running.values())) {
          if (now > leaseUntil) {
            end(task, "lapsed");
          } else if (now >= task.stopAtMillis) {
            end(task, "stopped");
          } else if (now - task.startedMillis >= task.workMillis) {
            end(task, "done");
          }
        }
      }
      Lab.sleep(20);
    }
  }

  int acknowledged() {
    return acknowledgedCount;
  }

  synchronized int runningCount() {
    return running.size();
  }

  private void heartbeatAlways() {
    int next = Math.floorMod(id.hashCode(), controls.size());
    while (!stopped) {
      boolean acknowledged = false;
      for (int i = 0; i < controls.size() && !acknowledged && !stopped && !silent; i++) {
        String control = controls.get((next + i) % controls.size());
        Lab.Answer answer =
            Lab.call(control, Lab.CONTROL, "PUT", "/instances/" + id, null, null, heartbeat(), 1_000);
        acknowledged = answer.status() == 200;
        acknowledgedCount += acknowledged ? 1 : 0;
        if (acknowledged) {
          next = (next + i) % controls.size();
        }
      }
      Lab.sleep(HEARTBEAT_MILLIS);
    }
  }

  private synchronized String heartbeat() {
    return "{\"Service\":\"" + service + "\",\"Address\":\"" + ip + ":" + Lab.MINION
        + "\",\"Zone\":\"" + zone + "\",\"Version\":\"v1\",\"Slots\":8,\"State\":\"ready\","
        + "\"ColdRemainingMs\":0,\"Capacity\":{\"Cpu\":" + cpu + ",\"MemMb\":131072,\"Gpu\":8},"
        + "\"Labels\":[\"a\",\"" + rack + "\"],\"ClockMs\":" + clock() + ",\"born\":" + born
        + ",\"Sequence\":" + (++sequence) + "}";
  }

  static long number(String json, String field) {
    Matcher matcher = Pattern.compile("\"" + field + "\":(\\d+)").matcher(json);
    return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
  }

  static String text(String json, String field) {
    Matcher matcher = Pattern.compile("\"" + field + "\":\"([^\"]*)\"").matcher(json);
    return matcher.find() ? matcher.group(1) : "";
  }
}
