import java.io.IOException;
import java.nio.file.Path;

/** The configuration grows by many routes, and then changes some hundred times. */
final class GrowingConfigCase extends Case {

  private static final int ROUTES = 1_400;
  private static final int CHANGES = 240;
  private static final long GAP_MILLIS = 250;
  private static final long STORM_END_MILLIS = 78_000;
  private static final int MAX_ENDS = 15;

  GrowingConfigCase(Record record) {
    super(record);
  }

  public static void main(String[] arguments) throws Exception {
    run(Path.of(arguments[0]), GrowingConfigCase::new);
  }

  @Override
  void play() throws Exception {
    startCluster(5, 2);
    for (int i = 0; i < 12; i++) {
      minions.add("i-a" + i, Cluster.ZONES.get(i % 3), "a", "r1-" + i / 8);
    }
    awaitService();
    for (int i = 0; i < minions.all.size(); i++) {
      minions.all.get(i).begin(i % 5, (i * 7 % 12) * Minions.HEARTBEAT_MILLIS / 12);
    }
    Thread.sleep(3_000);
    String id = "00000000000000f0";
    require(caller.submit(1, id, Caller.job(1, 1, 2_000, "")), "not accepted");
    long stormMillis = record.nowMillis();
    long acknowledged = 1;
    int unacknowledged = 0;
    for (int i = 0; i < CHANGES && ownEnds() < MAX_ENDS && record.nowMillis() < STORM_END_MILLIS; i++) {
      sleepUntil(stormMillis + i * GAP_MILLIS);
      long version = 2 + i;
      if (operator.putConfig(version, trouble ? 8 + ROUTES : 8, 4_000)) {
        acknowledged = version;
      } else {
        unacknowledged++;
        record.add("version " + version + " has no acknowledgement within 4 s");
        if (unacknowledged >= 3) {
          break;
        }
      }
    }
    record.add("last acknowledged version " + acknowledged + ", ends of processes " + ownEnds());
    // ContactMs and ConfigApplyMs after the last change.
    Thread.sleep(6_000);
    long readVersion = readBack(14_000);
    record.add("read back: version " + readVersion);
    String state = caller.state(1, id);
    record.add("the job is shown as " + state);
    if (ownEnds() > 0) {
      record.addViolation(
          "processes of control ended by themselves " + ownEnds() + " times, with no disruption"
              + " but changes of the configuration");
    }
    if (readVersion < acknowledged) {
      record.addViolation(
          "CONFIG: version " + acknowledged + " was acknowledged; read back for 14 s: "
              + (readVersion == 0 ? "no answer" : "version " + readVersion));
    }
    if (!state.equals("completed")) {
      record.addViolation("LOST: an accepted job is shown as \"" + state + '"');
    }
  }

  private int ownEnds() {
    return cluster.controls.stream().mapToInt(Daemon::ownEnds).sum();
  }

  private long readBack(long timeoutMillis) throws IOException, InterruptedException {
    long end = record.nowMillis() + timeoutMillis;
    for (int i = 0; record.nowMillis() < end; i++) {
      Daemon control = cluster.controls.get(i % cluster.controls.size());
      Http.Answer answer = operator.sendTo(control, "GET", "/config", "", 2_000);
      if (answer.status() == 200) {
        return Cluster.MAPPER.readTree(answer.body()).path("Version").asLong();
      }
      Thread.sleep(300);
    }
    return 0;
  }
}
