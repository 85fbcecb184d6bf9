import java.nio.file.Path;
import java.util.List;

/** A queue is sent to another service while one of its jobs waits for room on the old one. */
final class MovedQueueCase extends Case {

  private static final String NEW_SERVICE = "pumpdiag2";

  MovedQueueCase(Record record) {
    super(record);
  }

  public static void main(String[] arguments) throws Exception {
    run(Path.of(arguments[0]), MovedQueueCase::new);
  }

  @Override
  void play() throws Exception {
    startCluster(5, 3);
    for (int i = 0; i < 4; i++) {
      minions.add("i-a" + i, Cluster.ZONES.get(i % 3), "a", "r1-0");
    }
    for (int i = 0; i < 12; i++) {
      Minion minion = minions.add("i-n" + i, Cluster.ZONES.get(i % 3), "a", "r2-" + i / 8);
      minion.setService(NEW_SERVICE);
    }
    List<String> services = List.of(Operator.SERVICE, NEW_SERVICE);
    require(
        operator.order(
            cluster.controls, "PUT", "/config",
            Operator.config(1, 8, services, Operator.SERVICE).toString(), 30_000),
        "the first configuration was not accepted");
    require(cluster.awaitReady(10_000), "the entries are not ready");
    for (int i = 0; i < minions.all.size(); i++) {
      minions.all.get(i).begin(i % 5, (i * 7 % 16) * Minions.HEARTBEAT_MILLIS / 16);
    }
    Thread.sleep(4_000);
    for (int i = 0; i < 4; i++) {
      require(caller.submit(1, String.format("%016x", 0xa0 + i), Caller.job(1, 8, 70_000, "")), "not accepted");
    }
    Thread.sleep(1_000);
    String id = "00000000000000b0";
    if (trouble) {
      require(caller.submit(1, id, Caller.job(1, 1, 2_000, "")), "not accepted");
    }
    Thread.sleep(1_000);
    require(
        operator.order(
            cluster.controls, "PUT", "/config",
            Operator.config(2, 8, services, NEW_SERVICE).toString(), 4_000),
        "the second configuration was not accepted");
    Thread.sleep(3_000);
    if (!trouble) {
      require(caller.submit(1, id, Caller.job(1, 1, 2_000, "")), "not accepted");
    }
    require(caller.submit(1, "00000000000000c0", Caller.job(1, 1, 2_000, "")), "not accepted");
    Thread.sleep(30_000);
    String state = caller.state(1, id);
    record.add("a job sent after the change is " + caller.state(1, "00000000000000c0"));
    if (!state.equals("completed")) {
      record.addViolation(
          "LOST: an accepted job is shown as \"" + state + "\" 30 s after its queue was sent to"
              + " another service, whose 12 minions are idle");
    }
  }
}
