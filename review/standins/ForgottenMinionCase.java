import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * All control processes are killed at the same moment. Minions that report themselves after the new
 * leader is known are never used again, so that jobs that need them never run.
 */
final class ForgottenMinionCase extends Case {

  private static final int SPECIAL_KINDS = 12;

  ForgottenMinionCase(Record record) {
    super(record);
  }

  public static void main(String[] arguments) throws Exception {
    run(Path.of(arguments[0]), ForgottenMinionCase::new);
  }

  @Override
  void play() throws Exception {
    startCluster(5, 3);
    for (int i = 0; i < 21; i++) {
      minions.add("i-a" + i, Cluster.ZONES.get(i % 3), "a", "r1-" + i / 8);
    }
    for (int i = 0; i < SPECIAL_KINDS; i++) {
      minions.add("i-s" + i, Cluster.ZONES.get(i % 3), "s" + i, "r1-" + (21 + i) / 8);
    }
    awaitService();
    for (int i = 0; i < minions.all.size(); i++) {
      // The heartbeats are spread over the interval, and over the control processes.
      minions.all.get(i).begin(i % 5, (i * 7 % 33) * Minions.HEARTBEAT_MILLIS / 33);
    }
    sleepUntil(record.nowMillis() + 8_000);
    if (trouble) {
      for (Daemon control : cluster.controls) {
        control.kill();
      }
      Thread.sleep(600);
      for (Daemon control : cluster.controls) {
        control.clearBootstrap();
        control.start();
      }
    }
    // RecoveryS after the machines are back.
    Thread.sleep(12_000);
    require(cluster.awaitReady(10_000), "the entries are not ready again");
    long checkedFrom = record.nowMillis();
    for (int i = 0; i < SPECIAL_KINDS; i++) {
      require(
          caller.submit(1, String.format("%016x", 0xd0 + i), Caller.job(1, 1, 2_000, "s" + i)),
          "not accepted");
    }
    // finish_s is 14 s.
    sleepUntil(checkedFrom + 20_000);
    List<String> stuck = new ArrayList<>();
    for (int i = 0; i < SPECIAL_KINDS; i++) {
      String id = String.format("%016x", 0xd0 + i);
      String state = caller.state(1, id);
      if (!state.equals("completed")) {
        stuck.add(id + " (" + state + ", needs a minion s" + i + ')');
      }
    }
    if (!stuck.isEmpty()) {
      record.addViolation(
          "LOST: accepted jobs did not run for 20 s, though the only load is theirs: " + stuck);
    }
  }
}
