import java.nio.file.Path;

/** Frame of a case: runs it, ends all processes, and exits with 0, 1 or 2. */
abstract class Case {

  final Record record;
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  Cluster cluster;
  Operator operator;
  Caller caller;
  Minions minions;

  Case(Record record) {
    this.record = record;
  }

  /** Signals that the case cannot run, for example because the cluster does not start. */
  static final class CannotRun extends Exception {
    private static final long serialVersionUID = 1L;

    CannotRun(String message) {
      super(message);
    }
  }

  abstract void play() throws Exception;

  void startCluster(int controls, int entries) throws Exception {
    cluster = new Cluster(record, controls, entries);
    operator = new Operator(cluster);
    caller = new Caller(cluster);
    minions = new Minions(cluster);
    cluster.startAll();
  }

  /** Puts the first configuration in force, and waits for the entries. */
  void awaitService() throws Exception {
    require(operator.putConfig(1, 8, 30_000), "the first configuration was not accepted");
    require(cluster.awaitReady(10_000), "the entries are not ready");
  }

  static void require(boolean condition, String message) throws CannotRun {
    if (!condition) {
      throw new CannotRun(message);
    }
  }

  /** Sleeps until a time of the case. */
  void sleepUntil(long caseMillis) throws InterruptedException {
    Thread.sleep(Math.max(0, caseMillis - record.nowMillis()));
  }

  static void run(Path folder, java.util.function.Function<Record, Case> factory) throws Exception {
    Record record = new Record(folder);
    Case current = factory.apply(record);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  if (current.cluster != null) {
                    current.cluster.all().forEach(Daemon::end);
                  }
                }));
    int code = 2;
    try {
      record.add(current.trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
      current.play();
      code = record.violations().isEmpty() ? 0 : 1;
    } catch (Exception e) {
      record.add("the case could not run: " + e);
      e.printStackTrace();
    } finally {
      if (current.minions != null) {
        current.minions.close();
      }
      if (current.cluster != null) {
        current.cluster.close();
      }
    }
    record.add("exit code " + code);
    record.close();
    record.violations().forEach(System.out::println);
    System.out.println(code == 0 ? "held" : code == 1 ? "BROKEN" : "could not run");
    System.exit(code);
  }
}
