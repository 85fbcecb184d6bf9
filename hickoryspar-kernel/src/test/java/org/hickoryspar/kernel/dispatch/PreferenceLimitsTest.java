package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.BiConsumer;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.WorkflowStep;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what a start against the preferences of the planner must not do to other work. */
public class PreferenceLimitsTest {

  private static final int MAX_WAIT_MILLIS = 3_000;

  /** Number of small workflows that run at the same time beside a gang. */
  private static final int SMALL_RUNS = 4;

  private static WorkflowStep.Builder withEstimate(WorkflowStep.Builder step, long millis) {
    return step.setEstimatedMillis(millis);
  }

  private static WorkflowStep.Builder lasting(WorkflowStep.Builder step) {
    return step.setLongRunning(true);
  }

  /** Guards against a large gang that starves behind a steady stream of small workflows. */
  @Test
  void shouldStartLargeGangBesideSteadySmallWorkflows() {
    DispatcherHarness harness = DispatcherHarness.withMinions(8, "r1");
    harness.advanceTime(100);
    harness.submit("gang", 1, withEstimate(DispatcherHarness.gang(6, 8), 5_000));
    for (int i = 0; harness.minionsOf("gang").isEmpty() && i < 12; i++) {
      harness.submit("small-" + i, 2, withEstimate(DispatcherHarness.step(1, 8), 10_000));
      if (i >= SMALL_RUNS) {
        harness.endAllTasks("small-" + (i - SMALL_RUNS), RunEnd.Cause.DONE);
      }
      harness.advanceTime(1_000);
    }

    assertEquals(harness.minionsOf("gang").size(), 6, harness.events().toString());
  }

  /** Guards against a task that uses up its attempts on one faulty minion. */
  @Test
  void shouldNotRetryOnFaultyMinionWhileSoundOnesAreBusy() {
    DispatcherHarness harness = DispatcherHarness.withMinions(3, "r1");
    harness.submit("other", 1, withEstimate(fullMinions(2), 20_000));
    harness.advanceTime(100);
    harness.submit("task", 1, withEstimate(DispatcherHarness.step(1, 8), 4_000));
    harness.advanceTime(500);
    harness.endTask("task", 0, RunEnd.Cause.TASK_FAILED);

    harness.advanceTime(10_000);
    assertEquals(harness.minionsOf("task"), List.of());
    harness.endAllTasks("other", RunEnd.Cause.DONE);
    harness.advanceTime(300);

    assertEquals(harness.minionsOf("task").size(), 1);
  }

  /** Guards against long-running work that waits for a busy service although it has room. */
  @Test
  void shouldStartLongRunningTaskBesideReservationInBusyService() {
    DispatcherHarness harness = DispatcherHarness.withMinions(10, "r1");
    harness.submit("other", 0, withEstimate(fullMinions(7), 60_000));
    harness.advanceTime(200);
    harness.submit("gang", 1, withEstimate(DispatcherHarness.gang(6, 8), 60_000));
    harness.advanceTime(200);
    harness.submit("lasting", 2, lasting(withEstimate(DispatcherHarness.step(1, 4), 120_000)));

    harness.advanceTime(MAX_WAIT_MILLIS);

    assertEquals(harness.minionsOf("lasting").size(), 1, harness.events().toString());
  }

  /** Guards against a gauge that grows after the last group has been placed. */
  @Test
  void shouldReportNoIdleWaitWhenNothingWaits() {
    DispatcherHarness harness = DispatcherHarness.withMinions(2, "r1");
    failTwice(harness, "task", 3);
    harness.advanceTime(1_500);
    assertTrue(harness.longestIdleWaitMillis() >= 1_000);

    harness.advanceTime(10_000);

    assertEquals(harness.minionsOf("task").size(), 1);
    assertEquals(harness.longestIdleWaitMillis(), 0);
  }

  private static WorkflowStep.Builder fullMinions(int count) {
    WorkflowStep.Builder step = DispatcherHarness.step(count, 8);
    step.getDemandBuilder().setCpuMillicores(60_000);
    return step;
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

  /**
   * Guards against a gang that starves because small work takes its reservation in a busy service.
   */
  @Test
  void shouldKeepReservationInBusyService() {
    DispatcherHarness harness = DispatcherHarness.withMinions(10, "r1");
    harness.submit("other", 0, withEstimate(fullMinions(7), 20_000));
    harness.advanceTime(200);
    harness.submit("gang", 1, withEstimate(DispatcherHarness.gang(6, 8), 60_000));
    harness.advanceTime(200);
    harness.submit("small", 2, withEstimate(DispatcherHarness.step(1, 8), 60_000));

    harness.advanceTime(5_000);

    assertEquals(harness.minionsOf("small"), List.of());
  }

  /** Guards against a wide workflow that takes the reservation of a gang task by task. */
  @Test
  void shouldKeepReservationFromWorkflowThatRuns() {
    DispatcherHarness harness = DispatcherHarness.withMinions(8, "r1");
    harness.submit("running", 1, withEstimate(DispatcherHarness.step(2, 8), 6_000));
    harness.advanceTime(200);
    harness.submit("gang", 1, withEstimate(DispatcherHarness.gang(7, 8), 60_000));
    harness.advanceTime(200);
    harness.submit("wide", 2, withEstimate(DispatcherHarness.step(20, 8), 60_000));

    harness.advanceTime(4_500);

    assertEquals(harness.minionsOf("wide").size(), 1, harness.events().toString());
  }

  /** Guards against reservations that are all dropped in one round while a service fills. */
  @Test
  void shouldKeepReservationsOnceServiceIsBusy() {
    DispatcherHarness harness = DispatcherHarness.withMinions(10, "r1");
    harness.submit("endless", 1, withEstimate(DispatcherHarness.step(1, 1), 500));
    harness.advanceTime(1_000);
    harness.submit("gang", 1, withEstimate(DispatcherHarness.gang(10, 8), 4_000));
    harness.advanceTime(100);
    for (int i = 0; i < 9; i++) {
      harness.submit("small-" + i, 2, withEstimate(DispatcherHarness.step(1, 8), 60_000));
    }

    for (int i = 0; harness.countEvents("RUN_PLACED small") == 0 && i < 300; i++) {
      harness.advanceTime(DispatcherHarness.TICK_MILLIS);
    }

    long startedInOneRound = harness.countEvents("RUN_PLACED small");
    assertTrue(startedInOneRound >= 1 && startedInOneRound <= 6, startedInOneRound + " of 9");
  }

  /** Guards against a task that returns at once to the minion on which it has just failed. */
  @Test
  void shouldWaitBeforeTaskReturnsToMinionOnWhichItFailed() {
    DispatcherHarness harness = DispatcherHarness.withMinions(1, "r1");
    harness.submit("step", 1, withEstimate(DispatcherHarness.step(2, 3), 4_000));
    harness.advanceTime(1_000);
    harness.endTask("step", 0, RunEnd.Cause.TASK_FAILED);
    harness.advanceTime(1_900);
    harness.endTask("step", 1, RunEnd.Cause.TASK_FAILED);

    harness.advanceTime(400);

    assertFalse(harness.isRunning("step", 1));
  }

  /** Guards against long-running work that is backfilled before the start of a gang. */
  @Test
  void shouldNotBackfillLongRunningWork() {
    DispatcherHarness harness = DispatcherHarness.withMinions(4, "r1");
    harness.submit("running", 1, withEstimate(DispatcherHarness.step(1, 8), 1_500));
    harness.advanceTime(200);
    harness.submit("gang", 1, withEstimate(DispatcherHarness.gang(4, 8), 4_000));
    harness.advanceTime(100);
    harness.submit("lasting", 2, lasting(withEstimate(DispatcherHarness.step(1, 8), 500)));
    harness.advanceTime(1_000);

    harness.endAllTasks("running", RunEnd.Cause.DONE);
    harness.advanceTime(300);

    assertEquals(harness.minionsOf("gang").size(), 4);
  }

  // ------------------------------------------------------------- requirements

  /** Guards against a start on an isolated minion that must not get work for another reason. */
  @Test(dataProvider = "unusableMinions")
  void shouldNotStartOnUnusableMinion(String name, BiConsumer<DispatcherHarness, FakeMinion> loss) {
    DispatcherHarness harness = new DispatcherHarness();
    FakeMinion minion = harness.addMinion("m1", "r1");
    harness.advanceTime(100);
    harness.submit("bad", 1, DispatcherHarness.step(1, 8));
    harness.advanceTime(100);
    harness.endTask("bad", 0, RunEnd.Cause.TASK_FAILED);
    harness.advanceTime(20);
    harness.cancel("bad");
    assertEquals(harness.countEvents("MINION_ISOLATED"), 1);
    loss.accept(harness, minion);

    harness.submit("task", 1, DispatcherHarness.step(1, 8));
    harness.advanceTime(10_000);

    assertEquals(harness.minionsOf("task"), List.of());
  }

  @DataProvider
  Object[][] unusableMinions() {
    BiConsumer<DispatcherHarness, FakeMinion> dataCentreOut =
        (harness, minion) -> harness.takeDataCentreOut("dc-r1");
    BiConsumer<DispatcherHarness, FakeMinion> draining =
        (harness, minion) -> {
          minion.startDraining();
          harness.report(minion);
        };
    return new Object[][] {{"data centre out", dataCentreOut}, {"draining", draining}};
  }

  /** Guards against more tasks on a minion than their step allows. */
  @Test
  void shouldKeepLimitPerMinionOnIdleCapacity() {
    DispatcherHarness harness = DispatcherHarness.withMinions(2, "r1");
    harness.submit("limited", 1, lasting(DispatcherHarness.step(3, 1)).setMaxTasksPerMinion(1));

    harness.advanceTime(10_000);

    assertEquals(harness.minionsOf("limited").size(), 2);
  }
}
