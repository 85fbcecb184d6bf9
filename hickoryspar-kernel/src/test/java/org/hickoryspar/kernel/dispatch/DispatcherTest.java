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

  private DispatcherHarness rig;
  private DispatcherHarness.FakeMinion minion;

  @BeforeMethod
  void startWithOneMinion() {
    rig = new DispatcherHarness();
    minion = rig.addMinion("m1", "r1");
    rig.pass(100);
  }

  // ------------------------------------------------------------- leases

  /** Guards against a task that waits forever for a minion that is gone without a word. */
  @Test
  void shouldRunTasksElsewhereWhenTheirMinionVanishes() {
    rig.submit("a", 1, DispatcherHarness.step(2, 4));
    rig.pass(500);
    assertEquals(rig.minionsOf("a"), List.of("m1", "m1"));

    minion.vanish();
    rig.addMinion("m2", "r1");
    rig.pass(DispatcherHarness.SETTINGS.leaseExpiryMillis() + 2_000);

    assertEquals(rig.minionsOf("a"), List.of("m2", "m2"));
  }

  /** Guards against a start that is sent again and again and renews the lease each time. */
  @Test
  void shouldRunATaskElsewhereWhenItsMinionVanishesBeforeItAnswersTheStart() {
    minion.answerNoStarts();
    rig.submit("a", 1, DispatcherHarness.step(1, 4));
    rig.pass(500);

    minion.vanish();
    rig.addMinion("m2", "r1");
    rig.pass(DispatcherHarness.SETTINGS.leaseExpiryMillis() + 2_000);

    assertEquals(rig.minionsOf("a"), List.of("m2"));
  }

  /** Guards against a second run while the first one may still hold its lease. */
  @Test
  void shouldWaitForTheEndOfTheLeaseOfAMinionThatDoesNotAnswer() {
    rig.submit("a", 1, DispatcherHarness.step(1, 4));
    rig.pass(2_000);
    long deadlineMillis = minion.lastRenewal().deadlineMillis();

    minion.vanish();
    rig.addMinion("m2", "r1");
    while (rig.minionsOf("a").isEmpty() && rig.nowMillis() < 60_000) {
      rig.pass(DispatcherHarness.STEP_MILLIS);
    }

    assertFalse(rig.minionsOf("a").isEmpty());
    long slowestClockMillis = minion.clockMillis(rig.nowMillis()) * 98 / 100;
    assertTrue(slowestClockMillis >= deadlineMillis * 98 / 100, "started before the lease ended");
  }

  /** Guards against a new leader that starts a task again which a minion still runs. */
  @Test
  void shouldTakeOverWhatMinionsRunWhenTheLeaderChanges() {
    rig.submit("a", 1, DispatcherHarness.step(2, 4));
    rig.pass(500);

    rig.changeLeader();
    rig.pass(2_000);

    assertEquals(minion.starts().size(), 2);
    assertEquals(minion.running().size(), 2);
  }

  /**
   * Guards against tasks that are never started because a dispatcher is replaced between the
   * proposal of their start and its record.
   */
  @Test
  void shouldTakeOverAStartThatAnEarlierDispatcherProposed() {
    rig.submit("a", 1, DispatcherHarness.step(1, 8));
    WorkflowBatch proposed = rig.proposeOnly();
    rig.changeLeader();
    rig.record(proposed);
    rig.submit("b", 0, DispatcherHarness.step(1, 8));
    assertEquals(rig.proposeOnly().getEventsCount(), 0);

    rig.pass(1_000);
    rig.endAll("b", RunEnd.Cause.DONE);
    rig.pass(1_000);

    assertEquals(rig.minionsOf("a"), List.of("m1"));
  }

  /** Guards against leases that end, and ends that are learned late, after a restart of all. */
  @Test
  void shouldAskMinionsThatAreKnownFromOldReportsOnly() {
    rig.submit("a", 1, DispatcherHarness.step(1, 4));
    rig.pass(500);

    rig.changeLeaderWithOldReports();
    rig.pass(100);
    minion.end(minion.running().get(0), RunEnd.Cause.DONE);
    rig.pass(200);

    assertEquals(rig.find("a").state(), WorkflowState.WORKFLOW_COMPLETED);
  }

  /** Guards against work on a minion that drains since its last report is old. */
  @Test
  void shouldStartNothingOnAMinionThatIsKnownFromAnOldReportOnly() {
    rig.changeLeaderWithOldReports();
    rig.submit("a", 0, DispatcherHarness.step(1, 4));
    rig.pass(500);
    assertEquals(minion.starts(), List.of());
    rig.report(minion);
    rig.pass(500);

    assertEquals(minion.starts().size(), 1);
  }

  // ------------------------------------------------------------- ends

  /** Guards against a workflow that is shown as completed too early, or never. */
  @Test
  void shouldCompleteAWorkflowWhenAllItsTasksAreDone() {
    Workflow workflow = rig.submit("a", 1, DispatcherHarness.step(2, 1));
    rig.pass(100);

    minion.end(minion.running().get(0), RunEnd.Cause.DONE);
    rig.pass(100);
    assertEquals(workflow.state(), WorkflowState.WORKFLOW_RUNNING);
    minion.end(minion.running().get(0), RunEnd.Cause.DONE);
    rig.pass(100);

    assertEquals(workflow.state(), WorkflowState.WORKFLOW_COMPLETED);
  }

  /** Guards against tasks of a cancelled workflow that run on or are started. */
  @Test
  void shouldStopTheTasksOfACancelledWorkflow() {
    rig.submit("a", 1, DispatcherHarness.step(12, 1));
    rig.pass(100);
    assertEquals(minion.running().size(), 8);

    rig.cancel("a");
    rig.pass(500);

    assertEquals(minion.running(), List.of());
    assertEquals(minion.starts().size(), 8);
  }

  // ------------------------------------------------------------- placement

  /** Guards against work on a minion that is about to end. */
  @Test
  void shouldStartNothingOnADrainingMinion() {
    minion.drain();
    rig.report(minion);
    rig.submit("a", 0, DispatcherHarness.step(1, 1));
    rig.pass(500);

    assertEquals(minion.starts(), List.of());
  }

  /** Guards against work in a data centre that operators have taken out. */
  @Test
  void shouldStartNothingInADataCentreThatIsOut() {
    rig.addMinion("m2", "r2");
    rig.takeOut("dc-r1");
    rig.pass(100);
    rig.submit("a", 0, DispatcherHarness.step(4, 4));
    rig.pass(500);

    assertEquals(Set.copyOf(rig.minionsOf("a")), Set.of("m2"));
  }

  /** Guards against room that is given away twice while a start is not answered. */
  @Test
  void shouldCountTheRoomOfAnUnansweredStartAsUsed() {
    minion.answerNoStarts();
    rig.submit("a", 0, DispatcherHarness.step(1, 8));
    rig.pass(100);
    rig.submit("b", 0, DispatcherHarness.step(1, 8));
    rig.pass(2_000);

    assertTrue(
        minion.starts().stream().allMatch(start -> start.taskRun().workflowId().equals("a")));
  }
}
