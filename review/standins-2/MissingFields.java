import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Heartbeats of another writer, without a Capacity, bear the ids of the minions. Are the minions'
 * own heartbeats still followed, and do accepted jobs start?
 */
public final class MissingFields {

  private static final long FINISH_MILLIS = 14_000;
  private static final long WAIT_MILLIS = 3_000;

  private MissingFields() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code;
    try (Lab lab = new Lab(Path.of(arguments[0]))) {
      code = run(lab, trouble);
      lab.note("exit " + code);
    }
    System.exit(code);
  }

  private static int run(Lab lab, boolean trouble) throws Exception {
    Judge judge = new Judge(lab);
    if (!Deployment.start(lab, 4, judge)) {
      return 2;
    }
    if (Deployment.submit(lab, "00000000000000a0", "/small/", 4, 300) != 200) {
      return 2;
    }
    Lab.sleep(2_000);
    if (trouble) {
      for (Minion minion : lab.minions()) {
        sendForeignHeartbeat(lab, minion);
      }
    }
    // Two heartbeats of each minion follow.
    Lab.sleep(3_500);
    List<String> accepted = new ArrayList<>();
    for (int i = 1; i <= 3; i++) {
      String job = "00000000000000a" + i;
      if (Deployment.submit(lab, job, "/small/", 1, 300) == 200) {
        accepted.add(job);
      }
    }
    if (accepted.isEmpty()) {
      lab.note("could not run: no job was accepted");
      return 2;
    }
    Lab.sleep(FINISH_MILLIS);
    lab.note("finish_s is over");
    int breaks = 0;
    long end = lab.elapsedMillis() + 15_000;
    long idleSince = lab.elapsedMillis();
    while (lab.elapsedMillis() < end && breaks < 3) {
      Lab.sleep(100);
      int running = lab.minions().stream().mapToInt(Minion::runningCount).sum();
      List<String> waiting = accepted.stream().filter(job -> !judge.hasStarted(job)).toList();
      if (running > 0 || waiting.isEmpty()) {
        idleSince = lab.elapsedMillis();
      } else if (lab.elapsedMillis() - idleSince > WAIT_MILLIS) {
        breaks++;
        lab.note("LOST: for 3 s " + waiting + " have nothing running, and all minions are idle");
        idleSince = lab.elapsedMillis();
      }
    }
    for (String job : accepted) {
      lab.note("state of " + job + ": " + Deployment.state(lab, job, "/small/", 1));
    }
    for (Minion minion : lab.minions()) {
      lab.note(minion.id + " has had " + minion.acknowledged() + " heartbeats acknowledged");
    }
    return breaks > 0 ? 1 : 0;
  }

  private static void sendForeignHeartbeat(Lab lab, Minion minion) {
    String path = "/instances/" + minion.id;
    String body = "{\"Service\":\"" + minion.service + "\",\"Address\":\"" + minion.ip + ":"
        + Lab.MINION + "\",\"State\":\"ready\",\"born\":" + minion.born + ",\"Sequence\":1000}";
    int status = 0;
    for (int i = 0; i < lab.controls.size() && status != 200 && status / 100 != 4; i++) {
      status =
          Lab.call(lab.controls.get(i).ip, Lab.CONTROL, "PUT", path, null, null, body, 1_000)
              .status();
      lab.note("another writer PUT " + path + " " + body + ": " + status);
    }
  }
}
