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
  private FakeMinion minion;

  @BeforeMethod
  void startWithOneMinion() {
    harness = new DispatcherHarness();
    minion = harness.addMinion("m1", "r1");
    harness.advanceTime(100);
  }

  // ------------------------------------------------------------- leases

  /** Guards against a task that is never restarted after its minion has crashed. */
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

  /** Guards against a start whose retransmissions extend the lease of a dead minion forever. */
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

  /** Guards against a second run while the lease of the first one may still be valid. */
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
    assertTrue(slowestClockMillis >= deadlineMillis * 98 / 100, "started before the lease expired");
  }

  /** Guards against a new leader that restarts a task that still runs on a minion. */
  @Test
  void shouldRecoverRunningTasksWhenTheLeaderChanges() {
    harness.submit("a", 1, DispatcherHarness.step(2, 4));
    harness.advanceTime(500);

    harness.changeLeader();
    harness.advanceTime(2_000);

    assertEquals(minion.starts().size(), 2);
    assertEquals(minion.running().size(), 2);
  }

  /**
   * Guards against a task that never starts because its dispatcher was replaced after it had
   * proposed the start and before the log recorded it.
   */
  @Test
  void shouldRecoverAStartThatAnEarlierDispatcherProposed() {
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

  /**
   * Guards against leases that expire and ends that are recorded late after all replicas restart.
   */
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

  /** Guards against work on a minion that may have started to drain after its stale report. */
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

  /** Guards against a workflow whose state becomes completed too early, or never. */
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

  /** Guards against tasks of a cancelled workflow that continue to run or are started. */
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

  /** Guards against work on a minion that is draining. */
  @Test
  void shouldStartNothingOnADrainingMinion() {
    minion.startDraining();
    harness.report(minion);
    harness.submit("a", 0, DispatcherHarness.step(1, 1));
    harness.advanceTime(500);

    assertEquals(minion.starts(), List.of());
  }

  /** Guards against work in a data centre that operators have taken out of service. */
  @Test
  void shouldStartNothingInADataCentreThatIsOutOfService() {
    harness.addMinion("m2", "r2");
    harness.takeDataCentreOut("dc-r1");
    harness.advanceTime(100);
    harness.submit("a", 0, DispatcherHarness.step(4, 4));
    harness.advanceTime(500);

    assertEquals(Set.copyOf(harness.minionsOf("a")), Set.of("m2"));
  }

  /** Guards against resources that are allocated twice while a start has no response. */
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
