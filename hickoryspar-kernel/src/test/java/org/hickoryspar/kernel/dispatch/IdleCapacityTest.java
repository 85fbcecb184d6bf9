package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.WorkflowStep;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that no work waits for long beside idle capacity, whatever the planner reserves, avoids or
 * skips.
 */
public class IdleCapacityTest {

  /** Time within which work must start that fits twice while most of the capacity is idle. */
  private static final int MAX_WAIT_MILLIS = 3_000;

  private static WorkflowStep.Builder withEstimate(WorkflowStep.Builder step, long millis) {
    return step.setEstimatedMillis(millis);
  }

  private static WorkflowStep.Builder lasting(WorkflowStep.Builder step) {
    return step.setLongRunning(true);
  }

  private static DispatcherHarness withRacks(String... racks) {
    DispatcherHarness harness = new DispatcherHarness();
    for (String rack : racks) {
      harness.addMinions(4, rack);
    }
    harness.advanceTime(100);
    return harness;
  }

  // ------------------------------------------------------------- reservations

  @DataProvider
  Object[][] endlessRuns() {
    return new Object[][] {
      {"overdue", withEstimate(DispatcherHarness.step(1, 5), 500)},
      {"lasting", lasting(withEstimate(DispatcherHarness.step(1, 5), 500))}
    };
  }

  /** Guards against a reservation for a gang whose expected start never comes. */
  @Test(dataProvider = "endlessRuns")
  void shouldStartTaskBesideGangThatWaitsForEndlessRun(String id, WorkflowStep.Builder endless) {
    DispatcherHarness harness = withRacks("r1");
    harness.submit(id, 1, endless);
    harness.advanceTime(1_000);
    harness.submit("gang", 1, withEstimate(DispatcherHarness.gang(4, 8), 4_000));
    harness.advanceTime(200);
    harness.submit("task", 1, withEstimate(DispatcherHarness.step(1, 4), 4_000));

    harness.advanceTime(MAX_WAIT_MILLIS);

    assertEquals(harness.minionsOf("task").size(), 1, harness.events().toString());
  }

  /** Guards against a reservation that a new leader renews for a gang that cannot start. */
  @Test
  void shouldStartTaskBesideReservedCapacityUnderNewLeader() {
    DispatcherHarness harness = withRacks("r1");
    harness.submit("endless", 1, withEstimate(DispatcherHarness.step(1, 5), 500));
    harness.advanceTime(1_000);
    harness.submit("gang", 1, withEstimate(DispatcherHarness.gang(4, 8), 4_000));
    harness.advanceTime(200);
    harness.submit("task", 1, withEstimate(DispatcherHarness.step(1, 4), 4_000));
    harness.advanceTime(200);
    harness.changeLeader();

    harness.advanceTime(MAX_WAIT_MILLIS);

    assertEquals(harness.minionsOf("task").size(), 1, harness.events().toString());
  }

  /** Guards against resources reserved for a step that waits for its limit per minion. */
  @Test
  void shouldNotReserveResourcesThatTheLimitPerMinionDenies() {
    DispatcherHarness harness = DispatcherHarness.withMinions(2, "r1");
    harness.submit(
        "limited", 1, withEstimate(DispatcherHarness.step(4, 4), 4_000).setMaxTasksPerMinion(1));
    harness.advanceTime(200);
    assertEquals(harness.minionsOf("limited").size(), 2);

    harness.submit("task", 1, withEstimate(DispatcherHarness.step(2, 4), 4_000));
    harness.advanceTime(200);

    assertEquals(harness.minionsOf("task").size(), 2, harness.events().toString());
  }

  // ------------------------------------------------------------- racks and failures as preferences

  /** Guards against a gang that waits for one rack although each rack keeps some lasting work. */
  @Test
  void shouldStartGangAcrossRacksWhenNoRackBecomesFree() {
    DispatcherHarness harness = withRacks("r1", "r2", "r3");
    for (String id : List.of("lasting-1", "lasting-2", "lasting-3")) {
      harness.submit(id, 1, lasting(DispatcherHarness.gang(4, 5)));
      harness.advanceTime(100);
    }
    harness.endTask("lasting-1", 0, RunEnd.Cause.DONE);
    harness.cancel("lasting-1");
    harness.cancel("lasting-2");
    harness.advanceTime(500);
    harness.submit("left-1", 1, lasting(DispatcherHarness.step(1, 5).setDataRack("r1")));
    harness.submit("left-2", 1, lasting(DispatcherHarness.step(1, 5).setDataRack("r2")));
    harness.advanceTime(200);

    harness.submit("gang", 1, withEstimate(DispatcherHarness.gang(4, 8), 4_000));
    harness.advanceTime(MAX_WAIT_MILLIS);

    assertEquals(harness.minionsOf("gang").size(), 4, harness.events().toString());
  }

  @DataProvider
  Object[][] loads() {
    // Cores and accelerators of each minion that other work uses.
    return new Object[][] {{0, 0}, {50, 5}};
  }

  /** Guards against a task that is not started again once it has failed on each minion. */
  @Test(dataProvider = "loads")
  void shouldStartTaskAgainWhenItHasFailedOnEachMinion(int usedCores, int usedAccelerators) {
    DispatcherHarness harness = DispatcherHarness.withMinions(2, "r1");
    WorkflowStep.Builder other = DispatcherHarness.step(2, usedAccelerators);
    other.getDemandBuilder().setCpuMillicores(usedCores * 1_000);
    harness.submit("other", 1, withEstimate(other.setMaxTasksPerMinion(1), 60_000));
    harness.advanceTime(100);
    failTwice(harness, "task", 3);

    harness.advanceTime(MAX_WAIT_MILLIS);

    assertEquals(harness.minionsOf("task").size(), 1, harness.events().toString());
  }

  // Fails the task of a workflow once on each of two minions; the third attempt is left.
  private static void failTwice(DispatcherHarness harness, String id, int accelerators) {
    harness.submit(id, 1, DispatcherHarness.step(1, accelerators));
    for (int attempt = 0; attempt < 2; attempt++) {
      harness.advanceTime(1_000);
      harness.endTask(id, 0, RunEnd.Cause.TASK_FAILED);
    }
    harness.advanceTime(20);
  }

  // ------------------------------------------------------------- searches that are skipped

  /** Guards against work that is skipped because a task that failed everywhere found no minion. */
  @Test
  void shouldStartOtherWorkWhenTaskHasFailedOnEachMinion() {
    DispatcherHarness harness = DispatcherHarness.withMinions(2, "r1");
    failTwice(harness, "failing", 8);
    harness.submit("other", 2, withEstimate(DispatcherHarness.step(1, 8), 60_000));

    harness.advanceTime(300);

    assertEquals(harness.minionsOf("other").size(), 1, harness.events().toString());
  }

  /** Guards against tasks that wait because another one of their step avoids the idle minion. */
  @Test
  void shouldStartOtherTasksOfStepWhenOneAvoidsIdleMinion() {
    DispatcherHarness harness = DispatcherHarness.withMinions(2, "r1");
    harness.submit("filler", 0, withEstimate(DispatcherHarness.step(1, 8), 60_000));
    harness.advanceTime(100);
    harness.submit("step", 1, withEstimate(DispatcherHarness.step(3, 8), 60_000));
    harness.advanceTime(1_000);
    harness.endTask("step", 0, RunEnd.Cause.TASK_FAILED);
    harness.advanceTime(300);
    harness.endTask("step", 1, RunEnd.Cause.DONE);

    harness.advanceTime(300);

    assertTrue(harness.isRunning("step", 2), harness.events().toString());
  }

  /** Guards against short work that is skipped because long-running work may not be backfilled. */
  @Test
  void shouldBackfillShortWorkWhileLongRunningWorkWaits() {
    DispatcherHarness harness = DispatcherHarness.withMinions(4, "r1");
    harness.submit("running", 1, withEstimate(DispatcherHarness.step(1, 8), 20_000));
    harness.advanceTime(100);
    for (int i = 0; i < 6; i++) {
      harness.submit("gang-" + i, 1, withEstimate(DispatcherHarness.gang(4, 8), 20_000));
    }
    harness.advanceTime(100);
    harness.submit("lasting", 2, lasting(withEstimate(DispatcherHarness.step(1, 8), 1_000)));
    harness.submit("short", 2, withEstimate(DispatcherHarness.step(1, 8), 2_000));

    harness.advanceTime(300);

    assertEquals(harness.minionsOf("short").size(), 1, harness.events().toString());
  }

  /** Guards against minions that nobody probes because urgent work that may not probe waits. */
  @Test
  void shouldProbeMinionsWhileWorkThatMayNotProbeWaits() {
    DispatcherHarness harness = DispatcherHarness.withMinions(2, "r1");
    isolateAll(harness);
    harness.submit("urgent", 0, withEstimate(DispatcherHarness.step(1, 2), 500));
    harness.submit("probe", 2, withEstimate(DispatcherHarness.step(1, 2), 500));

    harness.advanceTime(2_500);

    assertEquals(harness.minionsOf("probe").size(), 1, harness.events().toString());
  }

  /** Guards against a gang that waits for others to probe the minions. */
  @Test
  void shouldStartGangSoonWhenAllMinionsAwaitProbe() {
    DispatcherHarness harness = DispatcherHarness.withMinions(2, "r1");
    isolateAll(harness);
    harness.submit("gang", 1, withEstimate(DispatcherHarness.gang(2, 8), 4_000));

    harness.advanceTime(MAX_WAIT_MILLIS);

    assertEquals(harness.minionsOf("gang").size(), 2, harness.events().toString());
  }

  // Tasks that fail at once isolate their minions.
  private static void isolateAll(DispatcherHarness harness) {
    harness.submit("bad", 1, DispatcherHarness.step(2, 8));
    harness.advanceTime(100);
    harness.endAllTasks("bad", RunEnd.Cause.TASK_FAILED);
    harness.advanceTime(20);
    harness.cancel("bad");
    harness.advanceTime(20);
    assertEquals(harness.countEvents("MINION_ISOLATED"), 2);
  }

  /** Guards against guaranteed work that is skipped because work beyond a guarantee waits. */
  @Test
  void shouldReclaimWhileWorkBeyondGuaranteeWaits() {
    DispatcherHarness harness = withRacks("r1");
    harness.submit("batch", 2, withEstimate(DispatcherHarness.step(32, 1), 60_000));
    harness.advanceTime(10_000);
    for (int i = 0; i < 7; i++) {
      harness.submitFor(
          "greedy", "beyond-" + i, 0, withEstimate(DispatcherHarness.step(1, 1), 4_000));
    }
    harness.advanceTime(20);
    harness.submit("urgent", 0, withEstimate(DispatcherHarness.gang(2, 8), 60_000));

    harness.advanceTime(2_900);

    assertEquals(harness.minionsOf("urgent").size(), 2, harness.events().toString());
  }
}
