import java.nio.file.Path;

/** A leave of an earlier life of a minion arrives late, because a control process was frozen. */
final class LateLeaveCase extends Case {

  private static final long FREEZE_MILLIS = 4_000;
  private static final long DRAIN_MILLIS = 2_500;
  private static final String FIRST_JOB = "00000000000000a0";
  private static final String SECOND_JOB = "00000000000000b0";

  LateLeaveCase(Record record) {
    super(record);
  }

  public static void main(String[] arguments) throws Exception {
    run(Path.of(arguments[0]), LateLeaveCase::new);
  }

  @Override
  void play() throws Exception {
    startCluster(5, 3);
    for (int i = 0; i < 12; i++) {
      minions.add("i-a" + i, Cluster.ZONES.get(i % 3), "a", "r1-" + i / 8);
    }
    Minion one = minions.add("i-b0", "port-spain", "b", "r2-0");
    Minion two = minions.add("i-b1", "port-spain", "b", "r2-0");
    Minion added = minions.add("i-b2", "port-spain", "b", "r2-0");
    awaitService();
    Daemon leader = cluster.leader();
    record.add("the leader is " + leader.name);
    int followerIndex = (cluster.controls.indexOf(leader) + 1) % 5;
    int calmIndex = (followerIndex + 1) % 5;
    for (Minion minion : minions.all) {
      if (minion == one || minion == two) {
        minion.begin(followerIndex, 50);
      } else if (minion != added) {
        minion.begin(calmIndex, 50);
      }
    }
    Thread.sleep(3_000);

    // One of the two minions of kind b is occupied for the rest of the case; the other one leaves.
    require(caller.submit(1, FIRST_JOB, Caller.job(1, 8, 40_000, "b")), "not accepted");
    Thread.sleep(1_000);
    Minion leaving = one.isIdle() ? one : two;
    require(leaving.isIdle(), "both minions are occupied");
    leaving.drain();
    while (!leaving.isDrainAcknowledged()) {
      Thread.sleep(20);
    }
    record.add("minion " + leaving.id + " drains, acknowledged");
    Thread.sleep(DRAIN_MILLIS + 500);
    Daemon frozen = cluster.controls.get(leaving.controlIndex());
    require(frozen != cluster.leader(), "the leader has changed");
    long freezeStart = record.nowMillis();
    if (trouble) {
      frozen.signal("STOP");
    }
    Thread.sleep(100);
    record.add("minion " + leaving.id + " -> " + frozen.name + " DELETE /instances/" + leaving.id);
    Http.sendAndClose(cluster.controlAddress(frozen), "DELETE", "/instances/" + leaving.id);
    leaving.end();

    // The minion starts again under its id, and gets work.
    Thread.sleep(1_000);
    leaving.begin(calmIndex, 20);
    Thread.sleep(600);
    require(caller.submit(1, SECOND_JOB, Caller.job(1, 8, 25_000, "b")), "not accepted");
    String task = SECOND_JOB + ".0.0.0";
    long startBy = freezeStart + FREEZE_MILLIS - 500;
    while (minions.starts(task) == 0 && record.nowMillis() < startBy) {
      Thread.sleep(20);
    }
    require(minions.starts(task) == 1, "the second job did not start before the thaw");
    added.begin(calmIndex, 20);
    sleepUntil(freezeStart + FREEZE_MILLIS);
    if (trouble) {
      frozen.signal("CONT");
    }
    Thread.sleep(8_000);
  }
}
