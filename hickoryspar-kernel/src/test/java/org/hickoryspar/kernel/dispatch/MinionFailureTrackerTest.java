package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.WorkflowState;
import org.testng.annotations.Test;

/**
 * Tests the isolation of minions that fail all tasks although they report normally, and the
 * detection of workflows that fail on any minion.
 */
public class MinionFailureTrackerTest {

  /** Guards against a minion that fails tasks of workflow after workflow right after the start. */
  @Test
  void shouldIsolateAMinionWhenATaskFailsImmediately() {
    DispatcherHarness harness = new DispatcherHarness();
    FakeMinion bad = harness.addMinion("bad", "r1");
    harness.advanceTime(100);
    harness.submit("a", 1, DispatcherHarness.step(1, 1));
    harness.advanceTime(50);
    failAll(bad);
    harness.advanceTime(50);
    harness.addMinion("good", "r1");
    harness.advanceTime(50);

    harness.submit("b", 1, DispatcherHarness.step(4, 1));
    harness.advanceTime(300);

    assertEquals(harness.countEvents("MINION_ISOLATED bad"), 1);
    assertFalse(harness.minionsOf("b").contains("bad"));
  }

  /**
   * Guards against faulty minions whose failures are cleared because different tasks of one gang
   * failed on them.
   */
  @Test
  void shouldIsolateTheMinionsWhenDifferentTasksOfAGangFail() {
    DispatcherHarness harness = DispatcherHarness.withMinions(6, "r1");
    harness.submit("a", 1, DispatcherHarness.gang(2, 8));
    harness.advanceTime(50);
    String first = fail(harness, "a", 0);
    harness.advanceTime(150);
    String second = fail(harness, "a", 1);
    harness.advanceTime(400);

    assertEquals(harness.countEvents("MINION_ISOLATED " + first), 1);
    assertEquals(harness.countEvents("MINION_ISOLATED " + second), 1);
    harness.submit("b", 1, DispatcherHarness.step(32, 1));
    harness.advanceTime(300);
    assertFalse(harness.minionsOf("b").contains(first));
    assertFalse(harness.minionsOf("b").contains(second));
  }

  /** Guards against healthy minions that are isolated because one faulty task failed on each. */
  @Test
  void shouldClearFailuresWhenTheSameTaskFailsOnEachMinion() {
    DispatcherHarness harness = DispatcherHarness.withMinions(2, "r1");
    harness.submit("a", 1, DispatcherHarness.step(1, 8));
    harness.advanceTime(50);
    fail(harness, "a", 0);
    harness.advanceTime(400);
    fail(harness, "a", 0);
    harness.advanceTime(50);
    harness.cancel("a");
    harness.advanceTime(400);

    harness.submit("b", 1, DispatcherHarness.step(2, 8));
    harness.advanceTime(300);

    assertEquals(harness.minionsOf("b").size(), 2);
  }

  /**
   * Guards against a faulty minion whose failures are cleared because another task of the workflow
   * is faulty.
   */
  @Test
  void shouldClearFailuresOnlyOnMinionsOfTheFaultyTask() {
    DispatcherHarness harness = DispatcherHarness.withMinions(6, "r1");
    harness.submit("a", 1, DispatcherHarness.step(2, 8));
    harness.advanceTime(50);
    String bad = fail(harness, "a", 1);
    String first = fail(harness, "a", 0);
    harness.advanceTime(150);
    String second = fail(harness, "a", 0);
    harness.advanceTime(50);
    harness.cancel("a");
    harness.advanceTime(400);

    harness.submit("b", 1, DispatcherHarness.step(6, 8));
    harness.advanceTime(300);

    assertFalse(harness.minionsOf("b").contains(bad));
    assertTrue(harness.minionsOf("b").containsAll(List.of(first, second)));
  }

  /** Guards against a workflow of many faulty tasks that isolates as many healthy minions. */
  @Test
  void shouldClearFailuresWhenOnlyOneWorkflowFailsOnSeveralMinions() {
    DispatcherHarness harness = DispatcherHarness.withMinions(6, "r1");
    harness.submit("a", 1, DispatcherHarness.step(5, 8));
    harness.advanceTime(50);
    for (int task = 0; task < 5; task++) {
      fail(harness, "a", task);
    }
    harness.advanceTime(50);
    harness.cancel("a");
    harness.advanceTime(400);

    harness.submit("b", 1, DispatcherHarness.step(6, 8));
    harness.advanceTime(300);

    assertEquals(harness.minionsOf("b").size(), 6);
  }

  /**
   * Guards against a healthy workflow that fails because its last attempt runs on minions without a
   * recent success although others have one.
   */
  @Test
  void shouldMakeTheLastAttemptOnMinionsWithRecentSuccess() {
    DispatcherHarness harness = DispatcherHarness.withMinions(2, "r1");
    harness.submit("proof", 1, DispatcherHarness.step(2, 8));
    harness.advanceTime(100);
    List<String> proven = harness.minionsOf("proof");
    harness.addMinions(6, "r2");
    harness.advanceTime(100);
    harness.submit("filler", 1, DispatcherHarness.step(6, 5));
    harness.advanceTime(100);
    harness.endAllTasks("proof", RunEnd.Cause.DONE);
    harness.advanceTime(100);
    // The minions without a success are the better fit.
    harness.submit("a", 1, DispatcherHarness.step(1, 3));
    harness.advanceTime(50);
    fail(harness, "a", 0);
    harness.advanceTime(400);
    fail(harness, "a", 0);
    harness.advanceTime(600);

    assertEquals(harness.find("a").state(), WorkflowState.WORKFLOW_RUNNING);
    assertTrue(proven.containsAll(harness.minionsOf("a")), harness.minionsOf("a").toString());
  }

  private static void failAll(FakeMinion minion) {
    minion.running().forEach(run -> minion.endTask(run, RunEnd.Cause.TASK_FAILED));
  }

  /** Fails a task of a workflow; returns the minion on which it ran. */
  private static String fail(DispatcherHarness harness, String workflowId, int task) {
    return harness.endTask(workflowId, task, RunEnd.Cause.TASK_FAILED);
  }
}
