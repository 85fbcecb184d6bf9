package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import org.hickoryspar.protocol.Queue;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.WorkflowBatch;
import org.hickoryspar.protocol.WorkflowEvent;
import org.hickoryspar.protocol.WorkflowState;
import org.hickoryspar.protocol.WorkflowStep;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests workflows that wait while the queue that accepted them changes in the catalog. */
public class QueueMoveTest {

  private static final String OTHER_SERVICE = DispatcherHarness.OTHER_SERVICE;
  private static final int PREEMPTING_PRIORITY = 0;
  private static final int PRIORITY = 1;
  private static final int LOW_PRIORITY = 2;

  private DispatcherHarness harness;

  /** All accelerators of the minion "old" of the first service are in use by "early". */
  @BeforeMethod
  void occupyMinionOfFirstService() {
    harness = new DispatcherHarness();
    harness.addMinion("old", "r1");
    harness.advanceTime(100);
    harness.submit("early", LOW_PRIORITY, DispatcherHarness.step(1, 8));
    harness.advanceTime(200);
    assertEquals(harness.minionsOf("early"), List.of("old"));
  }

  private static Queue movedQueue(int priority) {
    return DispatcherHarness.queue(priority).toBuilder().setService(OTHER_SERVICE).build();
  }

  private void moveAllQueues() {
    harness.replaceQueues(
        movedQueue(PREEMPTING_PRIORITY), movedQueue(PRIORITY), movedQueue(LOW_PRIORITY));
  }

  private void restoreAllQueues() {
    harness.replaceQueues(
        DispatcherHarness.queue(PREEMPTING_PRIORITY),
        DispatcherHarness.queue(PRIORITY),
        DispatcherHarness.queue(LOW_PRIORITY));
  }

  // -- service

  @DataProvider
  Object[][] waitingSteps() {
    return new Object[][] {
      {DispatcherHarness.step(1, 1), 1},
      {DispatcherHarness.step(4, 2), 4},
      {DispatcherHarness.gang(2, 4), 2},
    };
  }

  /** Guards against a job that waits for its old service although the new one is idle. */
  @Test(dataProvider = "waitingSteps")
  void shouldStartWaitingWorkflowOnNewServiceWhenQueueMoves(WorkflowStep.Builder step, int tasks) {
    harness.addMinion("new", "r1", OTHER_SERVICE);
    harness.submit("waiting", PRIORITY, step);
    harness.advanceTime(500);
    assertEquals(harness.minionsOf("waiting"), List.of());

    moveAllQueues();
    harness.advanceTime(200);

    assertEquals(harness.minionsOf("waiting"), Collections.nCopies(tasks, "new"));
  }

  @DataProvider
  Object[][] endsOfWait() {
    Consumer<QueueMoveTest> minionJoins =
        test -> test.harness.addMinion("new", "r1", OTHER_SERVICE);
    Consumer<QueueMoveTest> queueReturns = QueueMoveTest::restoreAllQueues;
    return new Object[][] {
      {"a minion of the new service joins", minionJoins, "new"},
      {"the queue returns to the old service", queueReturns, "old"},
    };
  }

  /** Guards against a start on the old service while the new one has no minions. */
  @Test(dataProvider = "endsOfWait")
  void shouldWaitWhenNewServiceHasNoMinions(
      String name, Consumer<QueueMoveTest> endOfWait, String expectedMinion) {
    harness.submit("waiting", PRIORITY, DispatcherHarness.step(1, 8));
    harness.advanceTime(200);
    moveAllQueues();
    harness.endAllTasks("early", RunEnd.Cause.DONE);
    harness.advanceTime(500);
    assertEquals(harness.minionsOf("waiting"), List.of());

    endOfWait.accept(this);
    harness.advanceTime(200);

    assertEquals(harness.minionsOf("waiting"), List.of(expectedMinion));
  }

  /** Guards against a job that is restarted on the old service after a failure. */
  @Test
  void shouldRestartFailedTaskOnNewServiceWhenQueueHasMoved() {
    harness.addMinion("new", "r1", OTHER_SERVICE);
    harness.advanceTime(100);
    moveAllQueues();
    harness.endAllTasks("early", RunEnd.Cause.TASK_FAILED);
    harness.advanceTime(500);

    assertEquals(harness.minionsOf("early"), List.of("new"));
  }

  /** Guards against a preemption on the old service that ends with a start there. */
  @Test
  void shouldNotStartPendingPlacementOnOldServiceWhenQueueMoves() {
    harness.submit("urgent", PREEMPTING_PRIORITY, DispatcherHarness.step(1, 8));
    while (harness.countEvents("RUN_PREEMPTED") == 0) {
      harness.advanceTime(DispatcherHarness.TICK_MILLIS);
    }
    assertEquals(harness.minionsOf("urgent"), List.of());

    moveAllQueues();
    harness.advanceTime(500);
    assertEquals(harness.minionsOf("urgent"), List.of());
    harness.addMinion("new", "r1", OTHER_SERVICE);
    harness.advanceTime(500);

    assertEquals(harness.minionsOf("urgent"), List.of("new"));
  }

  /**
   * Guards against a job that is forgotten or stays with its old service when its queue returns.
   */
  @Test
  void shouldStartWaitingWorkflowWhenRemovedQueueReturnsWithOtherService() {
    harness.addMinion("new", "r1", OTHER_SERVICE);
    harness.submit("waiting", PRIORITY, DispatcherHarness.step(1, 8));
    harness.advanceTime(200);
    harness.replaceQueues(DispatcherHarness.queue(LOW_PRIORITY));
    harness.advanceTime(500);
    assertEquals(harness.find("waiting").state(), WorkflowState.WORKFLOW_QUEUED);
    assertEquals(harness.minionsOf("waiting"), List.of());

    harness.replaceQueues(movedQueue(PRIORITY), DispatcherHarness.queue(LOW_PRIORITY));
    harness.advanceTime(200);

    assertEquals(harness.minionsOf("waiting"), List.of("new"));
  }

  // -- rank

  /**
   * Guards against waiting jobs that keep the rank of a configuration that is no longer in force.
   */
  @Test
  void shouldRankWaitingWorkflowsByCurrentPriority() {
    harness.submit("first", PRIORITY, DispatcherHarness.step(1, 8));
    harness.submit("second", LOW_PRIORITY, DispatcherHarness.step(1, 8));
    harness.advanceTime(200);

    harness.replaceQueues(
        DispatcherHarness.queue(PRIORITY).toBuilder().setPriority(LOW_PRIORITY).build(),
        DispatcherHarness.queue(LOW_PRIORITY).toBuilder().setPriority(PRIORITY).build());
    harness.advanceTime(200);
    harness.endAllTasks("early", RunEnd.Cause.DONE);
    harness.advanceTime(200);

    assertEquals(harness.minionsOf("second"), List.of("old"));
    assertEquals(harness.minionsOf("first"), List.of());
  }

  // -- planning rounds

  @DataProvider
  Object[][] catalogChanges() {
    Consumer<QueueMoveTest> returnDataCentre = test -> test.harness.returnDataCentre("dc-r2");
    Consumer<QueueMoveTest> moveQueues = QueueMoveTest::moveAllQueues;
    return new Object[][] {
      {"a data centre returns", "r2", DispatcherHarness.SERVICE, returnDataCentre},
      {"a queue moves", "r1", OTHER_SERVICE, moveQueues},
    };
  }

  /** Guards against a change of the catalog that takes effect only after an unrelated event. */
  @Test(dataProvider = "catalogChanges")
  void shouldPlanWithoutEventWhenCatalogChanges(
      String name, String rack, String service, Consumer<QueueMoveTest> change) {
    harness.takeDataCentreOut("dc-r2");
    harness.addMinion("idle", rack, service);
    harness.submit("waiting", PRIORITY, DispatcherHarness.step(1, 8));
    harness.advanceTime(200);
    assertFalse(isStartProposed());
    harness.passTime(DispatcherHarness.TICK_MILLIS);
    assertFalse(isStartProposed());

    change.accept(this);
    harness.passTime(DispatcherHarness.TICK_MILLIS);

    assertTrue(isStartProposed());
  }

  private boolean isStartProposed() {
    WorkflowBatch proposed = harness.proposeOnly();
    return proposed.getEventsList().stream().anyMatch(WorkflowEvent::hasRunStart);
  }
}
