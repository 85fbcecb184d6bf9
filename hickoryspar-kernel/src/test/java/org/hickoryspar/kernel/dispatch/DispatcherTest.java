package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.WorkflowBatch;
import org.hickoryspar.protocol.WorkflowState;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class DispatcherTest {

  private DispatcherHarness harness;
  private DispatcherHarness.FakeMinion minion;

  @BeforeMethod
  void startWithOneMinion() {
    harness = new DispatcherHarness();
    minion = harness.addMinion("m1", "r1");
    harness.advanceTime(100);
  }

  // ------------------------------------------------------------- leases

  /** Guards against a task that waits forever for a minion that is gone without a word. */
  @Test
  void shouldRestartTasksElsewhereWhenTheirMinionCrashes() {
    harness.submit("a", 1, DispatcherHarness.step(2, 4));
    harness.advanceTime(500);
    assertEquals(harness.minionsOf("a"), List.of("m1", "m1"));

    minion.crash();
    harness.addMinion("m2", "r1");
    harness.advanceTime(DispatcherHarness.SETTINGS.leaseExpiryMillis() + 2_000);

    assertEquals(harness.minionsOf("a"), List.of("m2", "m2"));
  }

  /** Guards against a start that is sent again and again and renews the lease each time. */
  @Test
  void shouldRestartATaskElsewhereWhenItsMinionCrashesBeforeItConfirmsTheStart() {
    minion.ignoreStarts();
    harness.submit("a", 1, DispatcherHarness.step(1, 4));
    harness.advanceTime(500);

    minion.crash();
    harness.addMinion("m2", "r1");
    harness.advanceTime(DispatcherHarness.SETTINGS.leaseExpiryMillis() + 2_000);

    assertEquals(harness.minionsOf("a"), List.of("m2"));
  }

  /** Guards against a second run while the first one may still hold its lease. */
  @Test
  void shouldWaitForLeaseExpiryWhenAMinionDoesNotRespond() {
    harness.submit("a", 1, DispatcherHarness.step(1, 4));
    harness.advanceTime(2_000);
    long deadlineMillis = minion.lastRenewal().deadlineMillis();

    minion.crash();
    harness.addMinion("m2", "r1");
    while (harness.minionsOf("a").isEmpty() && harness.nowMillis() < 60_000) {
      harness.advanceTime(DispatcherHarness.TICK_MILLIS);
    }

    assertFalse(harness.minionsOf("a").isEmpty());
    long slowestClockMillis = minion.clockMillis(harness.nowMillis()) * 98 / 100;
    assertTrue(slowestClockMillis >= deadlineMillis * 98 / 100, "started before the lease ended");
  }

  /** Guards against a new leader that starts a task again which a minion still runs. */
  @Test
  void shouldAdoptRunningTasksWhenTheLeaderChanges() {
    harness.submit("a", 1, DispatcherHarness.step(2, 4));
    harness.advanceTime(500);

    harness.changeLeader();
    harness.advanceTime(2_000);

    assertEquals(minion.starts().size(), 2);
    assertEquals(minion.running().size(), 2);
  }

  /**
   * Guards against tasks that are never started because a dispatcher is replaced between the
   * proposal of their start and its record.
   */
  @Test
  void shouldAdoptAStartThatAnEarlierDispatcherProposed() {
    harness.submit("a", 1, DispatcherHarness.step(1, 8));
    WorkflowBatch proposed = harness.proposeOnly();
    harness.changeLeader();
    harness.apply(proposed);
    harness.submit("b", 0, DispatcherHarness.step(1, 8));
    assertEquals(harness.proposeOnly().getEventsCount(), 0);

    harness.advanceTime(1_000);
    harness.endAllTasks("b", RunEnd.Cause.DONE);
    harness.advanceTime(1_000);

    assertEquals(harness.minionsOf("a"), List.of("m1"));
  }

  /** Guards against leases that end, and ends that are learned late, after a restart of all. */
  @Test
  void shouldRenewLeasesOfMinionsThatHaveOnlyStaleReports() {
    harness.submit("a", 1, DispatcherHarness.step(1, 4));
    harness.advanceTime(500);

    harness.changeLeaderWithStaleReports();
    harness.advanceTime(100);
    minion.endTask(minion.running().get(0), RunEnd.Cause.DONE);
    harness.advanceTime(200);

    assertEquals(harness.find("a").state(), WorkflowState.WORKFLOW_COMPLETED);
  }

  /** Guards against work on a minion that drains since its last report is old. */
  @Test
  void shouldStartNothingOnAMinionThatHasOnlyAStaleReport() {
    harness.changeLeaderWithStaleReports();
    harness.submit("a", 0, DispatcherHarness.step(1, 4));
    harness.advanceTime(500);
    assertEquals(minion.starts(), List.of());
    harness.report(minion);
    harness.advanceTime(500);

    assertEquals(minion.starts().size(), 1);
  }

  // ------------------------------------------------------------- ends

  /** Guards against a workflow that is shown as completed too early, or never. */
  @Test
  void shouldCompleteAWorkflowWhenAllItsTasksAreDone() {
    Workflow workflow = harness.submit("a", 1, DispatcherHarness.step(2, 1));
    harness.advanceTime(100);

    minion.endTask(minion.running().get(0), RunEnd.Cause.DONE);
    harness.advanceTime(100);
    assertEquals(workflow.state(), WorkflowState.WORKFLOW_RUNNING);
    minion.endTask(minion.running().get(0), RunEnd.Cause.DONE);
    harness.advanceTime(100);

    assertEquals(workflow.state(), WorkflowState.WORKFLOW_COMPLETED);
  }

  /** Guards against tasks of a cancelled workflow that run on or are started. */
  @Test
  void shouldStopTheTasksOfACancelledWorkflow() {
    harness.submit("a", 1, DispatcherHarness.step(12, 1));
    harness.advanceTime(100);
    assertEquals(minion.running().size(), 8);

    harness.cancel("a");
    harness.advanceTime(500);

    assertEquals(minion.running(), List.of());
    assertEquals(minion.starts().size(), 8);
  }

  // ------------------------------------------------------------- placement

  /** Guards against work on a minion that is about to end. */
  @Test
  void shouldStartNothingOnADrainingMinion() {
    minion.startDraining();
    harness.report(minion);
    harness.submit("a", 0, DispatcherHarness.step(1, 1));
    harness.advanceTime(500);

    assertEquals(minion.starts(), List.of());
  }

  /** Guards against work in a data centre that operators have taken out. */
  @Test
  void shouldStartNothingInADataCentreThatIsOutOfService() {
    harness.addMinion("m2", "r2");
    harness.takeDataCentreOut("dc-r1");
    harness.advanceTime(100);
    harness.submit("a", 0, DispatcherHarness.step(4, 4));
    harness.advanceTime(500);

    assertEquals(Set.copyOf(harness.minionsOf("a")), Set.of("m2"));
  }

  /** Guards against room that is given away twice while a start is not answered. */
  @Test
  void shouldCountTheDemandOfAnUnansweredStartAsUsed() {
    minion.ignoreStarts();
    harness.submit("a", 0, DispatcherHarness.step(1, 8));
    harness.advanceTime(100);
    harness.submit("b", 0, DispatcherHarness.step(1, 8));
    harness.advanceTime(2_000);

    assertTrue(
        minion.starts().stream().allMatch(start -> start.taskRun().workflowId().equals("a")));
  }
}
