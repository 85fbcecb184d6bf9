package org.hickoryspar.kernel.replication;

import static org.testng.Assert.assertTrue;

import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ForkJoinPool;
import java.util.stream.LongStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the planning of voters together with the replicated log. */
public class MembershipModelTest {

  /** Replays a single schedule and prints a trace, as in {@code -Dmembership.seed=17}. */
  private static final Long SEED = Long.getLong("membership.seed");

  private static final long SCHEDULES = Long.getLong("membership.schedules", 200);
  private static final long FIRST_SEED = Long.getLong("membership.firstSeed", 1);
  private static final long FAULT_MILLIS = 25_000;

  /**
   * Seeds that failed once. 1174: during a split, the leader removed a voter of the other half; two
   * others lost their disks, and two of the remaining four voters are no majority.
   */
  @DataProvider
  public Object[][] seedsThatFailed() {
    return new Object[][] {{1174}};
  }

  /** Guards against a cluster that never serves again although enough of its disks are left. */
  @Test(dataProvider = "seedsThatFailed")
  public void shouldServeAgainWhenScheduleOnceFailed(long seed) {
    new MembershipSimulation(seed, false).run(FAULT_MILLIS);
  }

  /**
   * Guards against a cluster that loses what it has acknowledged, or never serves again, after
   * losses that it must tolerate while its voters change.
   */
  @Test
  public void shouldKeepCommittedEntriesAndServeWhenInstancesAreLostAndReplaced() throws Exception {
    if (SEED != null) {
      new MembershipSimulation(SEED, true).run(FAULT_MILLIS);
      return;
    }
    ConcurrentLinkedQueue<String> failures = new ConcurrentLinkedQueue<>();
    ForkJoinPool pool = new ForkJoinPool(4);
    pool.submit(
            () ->
                LongStream.range(FIRST_SEED, FIRST_SEED + SCHEDULES)
                    .parallel()
                    .forEach(
                        seed -> {
                          try {
                            new MembershipSimulation(seed, false).run(FAULT_MILLIS);
                          } catch (RuntimeException | AssertionError e) {
                            failures.add("-Dmembership.seed=" + seed + ": " + e);
                          }
                        }))
        .get();
    pool.shutdown();
    assertTrue(failures.isEmpty(), failures.size() + " failed:\n" + String.join("\n", failures));
  }
}
