package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.TaskDemand;
import org.hickoryspar.protocol.WorkflowStep;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the planner where teams are at their quotas, and work of other teams beside it. */
public class QuotaPlannerTest {

  private static TaskDemand.Builder accelerators(int count) {
    return TaskDemand.newBuilder().setAccelerators(count);
  }

  private static WorkflowStep.Builder lasting(WorkflowStep.Builder step) {
    return step.setEstimatedMillis(20_000);
  }

  private static DispatcherHarness harnessWithQuota(int minions, int quota) {
    DispatcherHarness harness = DispatcherHarness.withMinions(minions, "r1");
    harness.setQuota("limited", accelerators(quota));
    return harness;
  }

  // ------------------------------------------------------------- room under a quota

  /** Guards against work of others that waits behind a team at its quota, and a silent wait. */
  @Test
  void shouldNotBlockOtherWorkWhenATeamIsAtItsQuota() {
    DispatcherHarness harness = harnessWithQuota(2, 6);
    harness.submitFor("limited", "wide", 0, lasting(DispatcherHarness.step(16, 1)));
    harness.submitFor("limited", "gang", 1, lasting(DispatcherHarness.gang(2, 8)));
    harness.submitFor("other", "small", 2, lasting(DispatcherHarness.step(10, 1)));

    harness.advanceTime(2_500);

    assertEquals(harness.minionsOf("wide").size(), 6);
    assertEquals(harness.minionsOf("gang"), List.of());
    assertEquals(harness.minionsOf("small").size(), 10);
    assertEquals(harness.longestIdleWaitMillis(), 0, "waits beside idle capacity");
    assertTrue(
        harness.countEvents("GROUP_WAITS wide", "team limited has 6 of its quota of 6 acc") > 0,
        harness.events().toString());
  }

  /** Guards against a wide step that is not continued when its first tasks end. */
  @Test
  void shouldRunAWideStepInWaves() {
    DispatcherHarness harness = harnessWithQuota(4, 8);
    harness.submitFor("limited", "wide", 1, DispatcherHarness.step(20, 1));
    for (int expected : new int[] {8, 8, 4, 0}) {
      harness.advanceTime(300);
      assertEquals(harness.minionsOf("wide").size(), expected);
      harness.endAllTasks("wide", RunEnd.Cause.DONE);
    }
  }

  /** Guards against a gang that starts in parts, and against one that starts beside other work. */
  @Test
  void shouldStartALargerGangOnlyWhenNothingElseOfItsTeamRuns() {
    DispatcherHarness harness = harnessWithQuota(4, 16);
    harness.submitFor("limited", "small", 1, DispatcherHarness.step(1, 1));
    harness.advanceTime(100);
    // One task more than the quota may run, so 3 tasks of 8 fit and 4 never do.
    harness.submitFor("limited", "large", 1, DispatcherHarness.gang(3, 8));
    harness.submitFor("limited", "too-large", 1, DispatcherHarness.gang(4, 8));
    harness.advanceTime(1_000);
    assertEquals(harness.minionsOf("large"), List.of());

    harness.endAllTasks("small", RunEnd.Cause.DONE);
    harness.advanceTime(300);

    assertEquals(harness.minionsOf("large").size(), 3);
    assertEquals(harness.minionsOf("too-large"), List.of());
  }

  /** Guards against processor time that a team gets beyond its quota with work that fills. */
  @Test
  void shouldCountTheProcessorTimeOfWorkThatFills() {
    DispatcherHarness harness = DispatcherHarness.withMinions(1, "r1");
    harness.setQuota("limited", TaskDemand.newBuilder().setCpuMillicores(3_000));

    harness.submitFor("limited", "filling", 1, DispatcherHarness.step(8, 0).setFills(true));
    harness.advanceTime(300);

    assertEquals(harness.minionsOf("filling").size(), 3);
  }

  // ------------------------------------------------------------- changes of a quota

  /**
   * Guards against starts above a lowered quota, stops because of it, and a raise without effect.
   */
  @Test
  void shouldStopNothingWhenTheQuotaIsLoweredAndStartMoreWhenItIsRaised() {
    DispatcherHarness harness = harnessWithQuota(4, 8);
    harness.submitFor("limited", "wide", 1, lasting(DispatcherHarness.step(24, 1)));
    harness.advanceTime(300);
    harness.setQuota("limited", accelerators(4));
    harness.advanceTime(2_000);
    assertEquals(harness.minionsOf("wide").size(), 8);
    for (int task = 0; task < 4; task++) {
      harness.endTask("wide", task, RunEnd.Cause.DONE);
    }
    harness.advanceTime(500);
    assertEquals(harness.minionsOf("wide").size(), 4);

    harness.setQuota("limited", accelerators(12));
    harness.advanceTime(100);

    assertEquals(harness.minionsOf("wide").size(), 12);
    assertEquals(harness.countEvents("RUN_STOPPING"), 0);
  }

  /** Guards against a start that is sent long after the quota that it was decided under. */
  @Test
  void shouldWithdrawAnUnansweredStartWhenTheQuotaIsLowered() {
    DispatcherHarness harness = new DispatcherHarness();
    FakeMinion minion = harness.addMinion("m1", "r1");
    harness.setQuota("limited", accelerators(8));
    harness.advanceTime(100);
    minion.ignoreStarts();
    harness.submitFor("limited", "late", 1, DispatcherHarness.step(8, 1));
    harness.advanceTime(100);

    harness.setQuota("limited", accelerators(2));
    harness.advanceTime(1_000);

    assertTrue(
        harness.countEvents("RUN_STOPPING late", "team limited now has more in use") > 0,
        harness.events().toString());
  }

  // ------------------------------------------------------------- a new leader

  /** Guards against a new leader that starts more because it has not heard of what runs. */
  @Test
  void shouldCountInheritedRunsBeforeTheirMinionsRespond() {
    DispatcherHarness harness = new DispatcherHarness();
    FakeMinion silent = harness.addMinion("m1", "r1");
    harness.setQuota("limited", accelerators(8));
    harness.advanceTime(100);
    harness.submitFor("limited", "wide", 1, lasting(DispatcherHarness.step(16, 1)));
    harness.advanceTime(300);
    silent.setReachable(false);
    harness.addMinion("m2", "r1");

    harness.changeLeader();
    harness.advanceTime(1_000);

    assertEquals(harness.minionsOf("wide").stream().distinct().toList(), List.of("m1"));
  }

  /** Guards against a task without a record that does not count until it has been stopped. */
  @Test
  void shouldCountStrayTasksUntilTheyHaveStopped() {
    DispatcherHarness harness = new DispatcherHarness();
    FakeMinion minion = harness.addMinion("m1", "r1");
    harness.setQuota("limited", accelerators(8));
    harness.advanceTime(100);
    harness.submitFor("limited", "stray", 1, lasting(DispatcherHarness.step(4, 1)));
    harness.advanceTime(300);
    harness.endAllTasks("stray", RunEnd.Cause.DONE);
    harness.advanceTime(300);
    assertEquals(inUse(harness), 0);

    minion.startUnasked("stray", 0);
    for (int tick = 0; tick < 200 && harness.countEvents("STRAY_TASK") == 0; tick++) {
      harness.advanceTime(DispatcherHarness.TICK_MILLIS);
    }
    assertEquals(inUse(harness), 1);
    harness.advanceTime(1_500);

    assertEquals(inUse(harness), 0);
  }

  private static long inUse(DispatcherHarness harness) {
    return harness.quotaQueries().status().stream()
        .filter(status -> status.team().equals("limited"))
        .mapToLong(status -> status.inUse().accelerators())
        .sum();
  }

  // ------------------------------------------------------------- precedence within a team

  @DataProvider
  Object[][] otherLoads() {
    // Accelerators of 32 that another team uses beside the 16 of the team.
    return new Object[][] {{0}, {16}};
  }

  /** Guards against guaranteed work that waits because other work of its team fills the quota. */
  @Test(dataProvider = "otherLoads")
  void shouldPreemptOwnWorkForGuaranteedWorkAtTheQuota(int otherTasks) {
    DispatcherHarness harness = DispatcherHarness.withMinions(4, "r1");
    harness.setQuota("team", accelerators(16));
    harness.submit("own", 2, lasting(DispatcherHarness.step(16, 1)));
    harness.advanceTime(200);
    if (otherTasks > 0) {
      harness.submitFor("other", "foreign", 2, lasting(DispatcherHarness.step(otherTasks, 1)));
    }
    harness.advanceTime(3_000);

    harness.submit("urgent", 0, lasting(DispatcherHarness.gang(2, 4)));
    harness.advanceTime(2_900);

    assertEquals(harness.minionsOf("urgent").size(), 2);
    assertEquals(harness.minionsOf("own").size(), 8);
    assertEquals(harness.minionsOf("foreign").size(), otherTasks);
  }

  /** Guards against work without a guarantee that stops other work because of a quota. */
  @Test
  void shouldNotPreemptOwnWorkForWorkBeyondTheGuarantee() {
    DispatcherHarness harness = harnessWithQuota(4, 16);
    harness.submitFor("limited", "own", 2, lasting(DispatcherHarness.step(16, 1)));
    harness.advanceTime(300);

    harness.submitFor("limited", "urgent", 0, lasting(DispatcherHarness.gang(2, 4)));
    harness.advanceTime(2_900);

    assertEquals(harness.countEvents("RUN_PREEMPTED"), 0);
  }

  /** Guards against a gang that starves because small work of its team fills the quota again. */
  @Test
  void shouldStartAGangWhileSmallWorkOfItsTeamKeepsArriving() {
    DispatcherHarness harness = harnessWithQuota(4, 8);
    harness.submitFor("limited", "small", 2, lasting(DispatcherHarness.step(60, 1)));
    harness.advanceTime(300);
    harness.submitFor("limited", "gang", 1, lasting(DispatcherHarness.gang(2, 4)));
    for (int second = 0; second < 20 && harness.minionsOf("gang").isEmpty(); second++) {
      endOneTask(harness, "small");
      harness.advanceTime(1_000);
    }

    assertEquals(harness.minionsOf("gang").size(), 2, harness.events().toString());
  }

  private static void endOneTask(DispatcherHarness harness, String workflowId) {
    for (int task = 0; task < 60; task++) {
      if (harness.isRunning(workflowId, task)) {
        harness.endTask(workflowId, task, RunEnd.Cause.DONE);
        return;
      }
    }
  }
}
