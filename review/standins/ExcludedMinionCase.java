import java.nio.file.Path;

/** A task fails once on each of the minions that can run it, and is never started again. */
final class ExcludedMinionCase extends Case {

  ExcludedMinionCase(Record record) {
    super(record);
  }

  public static void main(String[] arguments) throws Exception {
    run(Path.of(arguments[0]), ExcludedMinionCase::new);
  }

  @Override
  void play() throws Exception {
    startCluster(5, 3);
    for (int i = 0; i < 31; i++) {
      minions.add("i-a" + i, Cluster.ZONES.get(i % 3), "a", "r1-" + i / 8);
    }
    Minion first = minions.add("i-b0", "port-spain", "b", "r1-3");
    Minion second = minions.add("i-b1", "arima", "b", "r1-4");
    awaitService();
    for (int i = 0; i < minions.all.size(); i++) {
      minions.all.get(i).begin(i % 5, (i * 7 % 33) * Minions.HEARTBEAT_MILLIS / 33);
    }
    Thread.sleep(4_000);
    if (trouble) {
      // One failure on each of the two: half of the attempts that the queue allows.
      first.failNextTasks(1);
      second.failNextTasks(1);
    }
    long acceptedMillis = record.nowMillis();
    String id = "00000000000000e0";
    require(caller.submit(1, id, Caller.job(1, 1, 2_000, "b")), "not accepted");
    String state = "";
    while (record.nowMillis() < acceptedMillis + 50_000 && !state.equals("completed")) {
      Thread.sleep(2_000);
      state = caller.state(1, id);
    }
    int starts = minions.starts(id + ".0.0.0");
    record.add("the job is " + state + " after " + starts + " starts of its task");
    if (!state.equals("completed") && starts < 4) {
      record.addViolation(
          "LOST: an accepted job has had nothing running for over 40 s, though two idle minions"
              + " can run its task; it is shown as " + state + " after " + starts + " starts");
    }
  }
}
