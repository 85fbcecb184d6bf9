import java.nio.file.Path;

/**
 * A heartbeat of another writer, with a service that no configuration names, bears the address of a
 * minion that is at work. Do the tasks of that minion stay its own?
 */
public final class ForeignHeartbeat {

  private static final int TASK_MILLIS = 12_000;

  private ForeignHeartbeat() {}

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
    String job = "00000000000000a1";
    if (Deployment.submit(lab, job, "/small/", 8, TASK_MILLIS) != 200) {
      return 2;
    }
    long end = lab.elapsedMillis() + 8_000;
    while (judge.starts() < 8 && lab.elapsedMillis() < end) {
      Lab.sleep(100);
    }
    if (judge.starts() < 8) {
      lab.note("could not run: not all tasks have started");
      return 2;
    }
    Lab.sleep(1_500);
    if (trouble) {
      Minion minion =
          lab.minions().stream().filter(one -> one.runningCount() > 0).findFirst().orElseThrow();
      // The writer's own id, a service that nothing names, the address of a minion at work.
      String path = "/instances/w-1";
      String body = "{\"Service\":\"not-configured\",\"Address\":\"" + minion.ip + ":" + Lab.MINION
          + "\",\"Zone\":\"" + Lab.ZONES[0] + "\",\"State\":\"ready\",\"born\":"
          + System.currentTimeMillis() + ",\"Sequence\":1}";
      Lab.Answer answer = new Lab.Answer(0, "");
      for (int i = 0; i < 5 && answer.status() != 200; i++) {
        answer =
            Lab.call(lab.controls.get(i).ip, Lab.CONTROL, "PUT", path, null, null, body, 1_000);
        lab.note("another writer PUT " + path + " " + body + ": " + answer.status() + " "
            + answer.body());
      }
    }
    String state = "";
    end = lab.elapsedMillis() + 45_000;
    while (lab.elapsedMillis() < end && !state.contains("completed")) {
      Lab.sleep(1_000);
      state = Deployment.state(lab, job, "/small/", 1);
    }
    lab.note("state of the job: " + state + "; starts " + judge.starts());
    return judge.breaks() > 0 ? 1 : 0;
  }
}
