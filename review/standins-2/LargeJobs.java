import java.nio.file.Path;

/** Large jobs come at once: do the daemons live on, and are accepted jobs still answered? */
public final class LargeJobs {

  private static final int ENDS_PER_MACHINE = 3;

  private LargeJobs() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int jobs = Integer.parseInt(arguments[1]);
    int tasks = Integer.parseInt(arguments[2]);
    int code;
    try (Lab lab = new Lab(Path.of(arguments[0]))) {
      code = run(lab, trouble ? jobs : 0, tasks);
      lab.note("exit " + code);
    }
    System.exit(code);
  }

  private static int run(Lab lab, int jobs, int tasks) throws Exception {
    if (!Deployment.start(lab, 8, null)) {
      return 2;
    }
    lab.controls.forEach(Lab.Machine::supervise);
    lab.entries.forEach(Lab.Machine::supervise);
    String before = id(0, 1);
    if (Deployment.submit(lab, before, "/small/", 4, 1_000) != 200) {
      return 2;
    }
    int accepted = 0;
    for (int i = 0; i < jobs && fallen(lab) < 3 && lab.elapsedMillis() < 70_000; i++) {
      accepted += Deployment.submit(lab, id(1, i), "/large/", tasks, 1_000) == 200 ? 1 : 0;
    }
    lab.note("large jobs accepted: " + accepted + " of " + jobs);
    long lastAnswer = lab.elapsedMillis();
    for (int i = 0; lab.elapsedMillis() < 90_000 && fallen(lab) < 3; i++) {
      Lab.sleep(3_000);
      String state = Deployment.state(lab, before, "/small/", i % 2);
      if (state.startsWith("200")) {
        lastAnswer = lab.elapsedMillis();
      }
      lab.note("state of the first small job: " + state + "; starts on all minions "
          + Minion.STARTS.get() + ", ends " + lab.controls.stream().map(one -> one.ownEnds).toList());
    }
    lab.note("last good answer at " + lastAnswer / 1000.0 + " s");
    lab.note("machines of the core whose process ended by itself " + ENDS_PER_MACHINE
        + " times or more: " + fallen(lab) + " of " + lab.controls.size());
    return fallen(lab) >= 3 ? 1 : 0;
  }

  private static long fallen(Lab lab) {
    return lab.controls.stream().filter(one -> one.ownEnds >= ENDS_PER_MACHINE).count();
  }

  private static String id(int group, int number) {
    return String.format("0000000000%02x%04x", group, number);
  }
}
