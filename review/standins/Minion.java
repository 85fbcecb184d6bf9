import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A minion that follows the protocol: leases on its own steady clock, fencing tokens, numbered runs
 * and ends that are listed until they are taken note of. It does not guard its capacity. The work
 * of a task is the number of milliseconds in its specification, "work N".
 */
final class Minion {

  private static final long MAX_HOLD_MILLIS = 10_000;
  private static final long STOP_MILLIS = 150;
  private static final int MAX_LISTED_ENDS = 500;

  private static final class Task {
    final String name;
    final int run;
    final long startedMillis;
    final long workMillis;
    boolean stopping;

    Task(String name, int run, long startedMillis, long workMillis) {
      this.name = name;
      this.run = run;
      this.startedMillis = startedMillis;
      this.workMillis = workMillis;
    }
  }

  private record End(long number, String task, int run, String how) {}

  final String id;
  private final String zone;
  private final String kind;
  private final String rack;
  private final Minions minions;
  private final HttpServer server;
  private boolean up;
  private int life;
  private long bornMillis;
  private long bornNanos;
  private long sequence;
  private boolean draining;
  private boolean drainAcknowledged;
  private int controlIndex;
  private long fencingToken;
  private long leaseMillis;
  private long lastEnd;
  private String service = Operator.SERVICE;
  private boolean mute;
  private int tasksToFail;
  private final List<Long> startTimes = new ArrayList<>();
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private final Map<String, Integer> endedRuns = new HashMap<>();
  private final List<End> ends = new ArrayList<>();

  Minion(Minions minions, String id, String zone, String kind, String rack) throws IOException {
    this.minions = minions;
    this.id = id;
    this.zone = zone;
    this.kind = kind;
    this.rack = rack;
    server =
        HttpServer.create(
            new InetSocketAddress(InetAddress.getByName(minions.cluster.standInIp()), 0), 100);
    server.setExecutor(minions.executor);
    server.createContext("/run-start", exchange -> handle(exchange, this::runStart));
    server.createContext("/run-stop", exchange -> handle(exchange, this::runStop));
    server.createContext("/hold", exchange -> handle(exchange, this::hold));
    server.start();
  }

  String zone() {
    return zone;
  }

  /** Returns how many tasks were started here since a time of the case. */
  synchronized long startsSince(long caseMillis) {
    return startTimes.stream().filter(time -> time >= caseMillis).count();
  }

  /** Sets the service that the minion reports; called before its life begins. */
  synchronized void setService(String name) {
    service = name;
  }

  /** Makes the minion leave orders unanswered and send no heartbeats, while its tasks run on. */
  synchronized void setMute(boolean isMute) {
    mute = isMute;
  }

  // -- life

  /** Begins a life; the first heartbeat goes to the given control process. */
  synchronized void begin(int firstControlIndex, long firstHeartbeatDelayMillis) {
    bornMillis = System.currentTimeMillis();
    bornNanos = System.nanoTime();
    life++;
    sequence = 0;
    draining = false;
    drainAcknowledged = false;
    fencingToken = 0;
    leaseMillis = 0;
    lastEnd = 0;
    endedRuns.clear();
    ends.clear();
    controlIndex = firstControlIndex;
    up = true;
    int currentLife = life;
    minions.record.add("minion " + id + " starts, born " + bornMillis);
    minions.schedule(() -> beat(currentLife), firstHeartbeatDelayMillis);
    minions.schedule(() -> tick(currentLife), 20);
  }

  /** Ends the process of the minion; everything that runs on it ends. */
  synchronized void end() {
    up = false;
    for (Task task : List.copyOf(tasks.values())) {
      tasks.remove(task.name);
      minions.taskEnded(task.name, task.run, id, "with its minion");
    }
    notifyAll();
    minions.record.add("minion " + id + " ends");
  }

  synchronized void drain() {
    draining = true;
  }

  synchronized boolean isDrainAcknowledged() {
    return drainAcknowledged;
  }

  synchronized int controlIndex() {
    return controlIndex;
  }

  synchronized boolean isIdle() {
    return tasks.isEmpty();
  }

  synchronized void failNextTasks(int count) {
    tasksToFail = count;
  }

  private long clockMillis() {
    return (System.nanoTime() - bornNanos) / 1_000_000 + 1;
  }

  private synchronized boolean isMute() {
    return mute;
  }

  private synchronized boolean isAlive(int expectedLife) {
    return up && life == expectedLife;
  }

  // -- heartbeats

  private void beat(int currentLife) {
    if (!isAlive(currentLife)) {
      return;
    }
    if (isMute()) {
      minions.schedule(() -> beat(currentLife), Minions.HEARTBEAT_MILLIS);
      return;
    }
    int count = minions.cluster.controls.size();
    for (int attempt = 0; attempt < count && isAlive(currentLife); attempt++) {
      Daemon control = minions.cluster.controls.get(controlIndex());
      String body;
      boolean reportsDraining;
      synchronized (this) {
        reportsDraining = draining;
        body = heartbeat().toString();
      }
      Http.Answer answer =
          Http.send(
              minions.cluster.controlAddress(control), "PUT", "/instances/" + id, control.ip, "",
              body, 1_000);
      if (!isAlive(currentLife)) {
        return;
      }
      if (answer.isSuccess()) {
        synchronized (this) {
          drainAcknowledged |= reportsDraining;
        }
        break;
      }
      synchronized (this) {
        controlIndex = (controlIndex + 1) % count;
      }
    }
    minions.schedule(() -> beat(currentLife), Minions.HEARTBEAT_MILLIS);
  }

  private ObjectNode heartbeat() {
    ObjectNode node = Minions.newObject();
    node.put("Service", service);
    node.put("Address", server.getAddress().getHostString() + ':' + server.getAddress().getPort());
    node.put("Zone", zone).put("Version", "v1").put("Slots", 8);
    node.put("State", draining ? "draining" : "ready").put("ColdRemainingMs", 0);
    node.putObject("Capacity").put("Cpu", 64_000).put("MemMb", 262_144).put("Gpu", 8);
    node.putArray("Labels").add(kind).add(rack);
    node.put("ClockMs", clockMillis()).put("Sequence", ++sequence);
    node.put("Machine", "m-" + id).put("born", bornMillis);
    if (draining) {
      node.put("DrainRemainingMs", 2_500);
    }
    return node;
  }

  // -- tasks

  private void tick(int currentLife) {
    synchronized (this) {
      if (!isAlive(currentLife)) {
        return;
      }
      long nowMillis = clockMillis();
      for (Task task : List.copyOf(tasks.values())) {
        if (leaseMillis < nowMillis) {
          endTask(task, "lapsed");
        } else if (!task.stopping && nowMillis - task.startedMillis >= task.workMillis) {
          endTask(task, "done");
        }
      }
    }
    minions.schedule(() -> tick(currentLife), 20);
  }

  private synchronized void endTask(Task task, String how) {
    if (tasks.remove(task.name, task)) {
      endedRuns.merge(task.name, task.run, Math::max);
      ends.add(new End(++lastEnd, task.name, task.run, how));
      minions.taskEnded(task.name, task.run, id, how);
      notifyAll();
    }
  }

  // -- orders

  private interface Order {
    int handle(JsonNode body, ObjectNode response) throws InterruptedException;
  }

  private void handle(HttpExchange exchange, Order order) throws IOException {
    try (exchange) {
      JsonNode body = Cluster.MAPPER.readTree(exchange.getRequestBody());
      String expected = exchange.getRequestHeaders().getFirst("X-Hickoryspar-Expect-Instance");
      ObjectNode response = Minions.newObject();
      int status;
      int currentLife;
      synchronized (this) {
        if (!up || mute) {
          return;
        }
        currentLife = life;
        if (!id.equals(expected)) {
          status = 421;
        } else if (body.path("FencingToken").asLong() < fencingToken) {
          response.put("Reason", "fence");
          status = 409;
        } else {
          fencingToken = body.path("FencingToken").asLong();
          try {
            status = order.handle(body, response);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
          }
        }
        response.put("ClockMs", clockMillis());
      }
      if (!isAlive(currentLife)) {
        return;
      }
      byte[] bytes = response.toString().getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(status, bytes.length);
      exchange.getResponseBody().write(bytes);
    }
  }

  private void extendLease(JsonNode body) {
    long limit = clockMillis() + MAX_HOLD_MILLIS;
    leaseMillis = Math.max(leaseMillis, Math.min(limit, body.path("DeadlineMs").asLong()));
  }

  private int runStart(JsonNode body, ObjectNode response) {
    String name = body.path("Task").asText();
    int run = body.path("Run").asInt();
    if (body.path("DeadlineMs").asLong() < clockMillis()) {
      response.put("Reason", "late");
      return 409;
    }
    extendLease(body);
    Task present = tasks.get(name);
    if (present != null && present.run == run) {
      return 200;
    }
    if (run <= endedRuns.getOrDefault(name, 0) || present != null) {
      response.put("Reason", "old");
      return 409;
    }
    String spec = body.path("Spec").asText();
    Task task = new Task(name, run, clockMillis(), Long.parseLong(spec.substring(5)));
    tasks.put(name, task);
    minions.taskStarted(name, run, id);
    startTimes.add(minions.record.nowMillis());
    if (tasksToFail > 0) {
      tasksToFail--;
      minions.schedule(() -> endTask(task, "failed"), 500);
    }
    return 200;
  }

  private int runStop(JsonNode body, ObjectNode response) {
    String name = body.path("Task").asText();
    int run = body.path("Run").asInt();
    Task task = tasks.get(name);
    if (task == null || task.run > run) {
      endedRuns.merge(name, run, Math::max);
    } else if (task.run == run && !task.stopping) {
      task.stopping = true;
      minions.schedule(() -> endTask(task, "stopped"), STOP_MILLIS);
    }
    return 200;
  }

  private int hold(JsonNode body, ObjectNode response) throws InterruptedException {
    int currentLife = life;
    if (body.has("DeadlineMs")) {
      extendLease(body);
    }
    ends.removeIf(end -> end.number <= body.path("LastSeen").asLong());
    long waitUntil = clockMillis() + Math.min(2_000, body.path("WaitMs").asLong());
    while (ends.isEmpty() && isAlive(currentLife) && clockMillis() < waitUntil) {
      wait(Math.max(1, waitUntil - clockMillis()));
    }
    response.put("born", bornMillis);
    ArrayNode running = response.putArray("Running");
    for (Task task : tasks.values()) {
      long percent = Math.min(100, (clockMillis() - task.startedMillis) * 100 / task.workMillis);
      running.addArray().add(task.name).add(task.run).add("").add(percent).add(1_000);
    }
    ArrayNode ended = response.putArray("Ended");
    ends.stream()
        .limit(MAX_LISTED_ENDS)
        .forEach(
            end -> ended.addArray().add(end.number).add(end.task).add(end.run).add(end.how).add(""));
    return 200;
  }

  void close() {
    synchronized (this) {
      up = false;
      notifyAll();
    }
    server.stop(0);
  }
}
