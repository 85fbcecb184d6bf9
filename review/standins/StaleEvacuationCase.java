import java.nio.file.Path;
import java.util.List;

/** A frozen control process carries out an order of the operator that a later one has replaced. */
final class StaleEvacuationCase extends Case {

  private static final long FREEZE_MILLIS = 4_000;
  private static final long CONTACT_MILLIS = 3_000;
  private static final long EVACUATION_MILLIS = 5_000;
  private static final int JOBS = 12;

  StaleEvacuationCase(Record record) {
    super(record);
  }

  public static void main(String[] arguments) throws Exception {
    run(Path.of(arguments[0]), StaleEvacuationCase::new);
  }

  @Override
  void play() throws Exception {
    startCluster(5, 3);
    for (int i = 0; i < 12; i++) {
      minions.add("i-a" + i, Cluster.ZONES.get(i % 3), "a", "r1-" + i / 8);
    }
    awaitService();
    Daemon leader = cluster.leader();
    int follower = (cluster.controls.indexOf(leader) + 1) % 5;
    Daemon frozen = cluster.controls.get(follower);
    Daemon calm = cluster.controls.get((follower + 1) % 5);
    // The frozen machine is in the zone that is evacuated.
    String zone = cluster.zoneOf(frozen);
    record.add("the leader is " + leader.name);
    minions.all.forEach(minion -> minion.begin((follower + 1) % 5, 50));
    Thread.sleep(3_000);
    String path = "/evacuate/" + zone;
    require(operator.order(List.of(calm), "POST", path, "", 4_000), "no first evacuation");
    Thread.sleep(2_000);
    long freezeStart = record.nowMillis();
    if (trouble) {
      frozen.signal("STOP");
      Thread.sleep(50);
    }
    // The operator sends the order to one process and, after a second without an answer, to another.
    require(operator.order(List.of(frozen, calm), "DELETE", path, "", 4_000), "not taken back");
    Thread.sleep(300);
    require(operator.order(List.of(calm), "POST", path, "", 4_000), "no second evacuation");
    long evacuatedMillis = record.nowMillis();
    record.add(zone + " is evacuated, acknowledged");
    sleepUntil(freezeStart + FREEZE_MILLIS);
    if (trouble) {
      frozen.signal("CONT");
    }
    // EvacuationMs after the acknowledgement, and twice ContactMs after the thaw.
    sleepUntil(
        Math.max(
            evacuatedMillis + EVACUATION_MILLIS,
            freezeStart + FREEZE_MILLIS + 2 * CONTACT_MILLIS));
    long checkedFrom = record.nowMillis();
    record.add("from here on no task may start in " + zone);
    for (int i = 0; i < JOBS; i++) {
      require(
          caller.submit(1, String.format("%016x", 0xc0 + i), Caller.job(1, 8, 3_000, "")),
          "not accepted");
    }
    Thread.sleep(5_000);
    for (Minion minion : minions.all) {
      long starts = minion.startsSince(checkedFrom);
      if (minion.zone().equals(zone) && starts > 0) {
        record.addViolation(
            "EVAC: " + starts + " tasks were started on minion " + minion.id + " in " + zone);
      }
    }
  }
}
