import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * One scheduled job comes whose occurrences are all due. Do the small jobs that were accepted after
 * it start, with idle minions?
 */
public final class OverdueSchedule {

  private static final long FINISH_MILLIS = 14_000;
  private static final long WAIT_MILLIS = 3_000;
  private static final long INTERVAL_MILLIS = 60_000;
  private static final int CORES_PER_MINION = 32;

  private OverdueSchedule() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int occurrences = Integer.parseInt(arguments[1]);
    int code;
    try (Lab lab = new Lab(Path.of(arguments[0]))) {
      code = run(lab, trouble ? occurrences : 0);
      lab.note("exit " + code);
    }
    System.exit(code);
  }

  private static int run(Lab lab, int occurrences) throws Exception {
    Judge judge = new Judge(lab);
    if (!Deployment.start(lab, 8, judge)) {
      return 2;
    }
    String first = "00000000000000a0";
    if (Deployment.submit(lab, first, "/small/", 1, 300) != 200) {
      return 2;
    }
    if (occurrences > 0) {
      submitSchedule(lab, occurrences);
    }
    List<String> accepted = Collections.synchronizedList(new ArrayList<>());
    accepted.add(first);
    List<Thread> clients = new ArrayList<>();
    for (int i = 1; i <= 6; i++) {
      Lab.sleep(1_000);
      String job = "00000000000000a" + i;
      Thread client =
          new Thread(
              () -> {
                if (Deployment.submit(lab, job, "/small/", 1, 300) == 200) {
                  accepted.add(job);
                }
              });
      client.start();
      clients.add(client);
    }
    for (Thread client : clients) {
      client.join();
    }
    long trafficEnd = lab.elapsedMillis();
    lab.note("end of the traffic; accepted " + accepted);
    Lab.sleep(FINISH_MILLIS);
    lab.note("finish_s is over");
    int total = lab.minions().size() * CORES_PER_MINION;
    long idleSince = lab.elapsedMillis();
    int breaks = 0;
    // Each task takes one core.
    while (lab.elapsedMillis() < trafficEnd + FINISH_MILLIS + 20_000 && breaks < 3) {
      Lab.sleep(100);
      long now = lab.elapsedMillis();
      int running = lab.minions().stream().mapToInt(Minion::runningCount).sum();
      List<String> waiting = accepted.stream().filter(job -> !judge.hasStarted(job)).toList();
      // With nothing at work at all, the scheduled job has nothing running either.
      boolean allIdle = occurrences > 0 && running == 0;
      if (running * 2 >= total || (waiting.isEmpty() && !allIdle)) {
        idleSince = now;
      } else if (now - idleSince > WAIT_MILLIS) {
        breaks++;
        lab.note("LOST: for 3 s " + waiting + (allIdle ? " and the scheduled job" : "")
            + " have nothing running; cores in use " + running + " of " + total);
        idleSince = now;
      }
    }
    for (String job : accepted) {
      if (lab.elapsedMillis() > 85_000) {
        break;
      }
      breaks += isAnswered(lab, job) ? 0 : 1;
    }
    lab.note("starts " + judge.starts() + ", lapsed " + Minion.LAPSED.get());
    return breaks > 0 ? 1 : 0;
  }

  /** Asks for an accepted job, with the retries of a client. */
  private static boolean isAnswered(Lab lab, String job) {
    for (int attempt = 0; attempt < 4; attempt++) {
      String state = Deployment.state(lab, job, "/small/", attempt % lab.entries.size());
      lab.note("state of " + job + ": " + state);
      if (state.startsWith("200")) {
        return true;
      }
    }
    lab.note("LOST: " + job + " was accepted and gets no answer in time, four times on end");
    return false;
  }

  /** The job was to run each minute, and begins so long ago that all its occurrences are due. */
  private static void submitSchedule(Lab lab, int occurrences) {
    long start = System.currentTimeMillis() - occurrences * INTERVAL_MILLIS;
    String body = "{\"Spec\":\"ms=300\",\"StartAtMs\":" + start + ",\"IntervalMs\":" + INTERVAL_MILLIS
        + ",\"RepeatCount\":" + occurrences
        + ",\"Steps\":[{\"Count\":1,\"Cpu\":1000,\"MemMb\":64,\"EstimatedMs\":300}]}";
    Lab.Answer answer =
        Lab.call(lab.entries.get(0).ip, Lab.FRONT, "POST", "/large/00000000000000b0", Deployment.HOST,
            Deployment.KEY, body, 3_000);
    lab.note("client POST /large/00000000000000b0 " + body + ": " + answer.status());
  }
}
