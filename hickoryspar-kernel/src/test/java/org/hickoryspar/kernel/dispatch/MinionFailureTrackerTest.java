package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.WorkflowState;
import org.testng.annotations.Test;

/** Minions that fail all tasks while they report well, and workflows that fail on any minion. */
public class MinionFailureTrackerTest {

  /** Guards against a minion that fails the tasks of one workflow after the other at once. */
  @Test
  void shouldIsolateAMinionOnWhichATaskFailsAtOnce() {
    DispatcherHarness rig = new DispatcherHarness();
    DispatcherHarness.FakeMinion bad = rig.addMinion("bad", "r1");
    rig.pass(100);
    rig.submit("a", 1, DispatcherHarness.step(1, 1));
    rig.pass(50);
    failAll(bad);
    rig.pass(50);
    rig.addMinion("good", "r1");
    rig.pass(50);

    rig.submit("b", 1, DispatcherHarness.step(4, 1));
    rig.pass(300);

    assertEquals(rig.count("MINION_ISOLATED bad"), 1);
    assertFalse(rig.minionsOf("b").contains("bad"));
  }

  /**
   * Guards against bad minions that are pardoned, and used again, because different tasks of a gang
   * failed on two of them.
   */
  @Test
  void shouldBlameTheMinionsWhenDifferentTasksOfAGangFail() {
    DispatcherHarness rig = DispatcherHarness.withMinions(6, "r1");
    rig.submit("a", 1, DispatcherHarness.gang(2, 8));
    rig.pass(50);
    String first = fail(rig, "a", 0);
    rig.pass(150);
    String second = fail(rig, "a", 1);
    rig.pass(400);

    assertEquals(rig.count("MINION_ISOLATED " + first), 1);
    assertEquals(rig.count("MINION_ISOLATED " + second), 1);
    rig.submit("b", 1, DispatcherHarness.step(32, 1));
    rig.pass(300);
    assertFalse(rig.minionsOf("b").contains(first));
    assertFalse(rig.minionsOf("b").contains(second));
  }

  /** Guards against good minions that are isolated by a task that fails on each of them. */
  @Test
  void shouldPardonTheMinionsWhenTheSameTaskFailsOnEach() {
    DispatcherHarness rig = DispatcherHarness.withMinions(2, "r1");
    rig.submit("a", 1, DispatcherHarness.step(1, 8));
    rig.pass(50);
    fail(rig, "a", 0);
    rig.pass(400);
    fail(rig, "a", 0);
    rig.pass(50);
    rig.cancel("a");
    rig.pass(400);

    rig.submit("b", 1, DispatcherHarness.step(2, 8));
    rig.pass(300);

    assertEquals(rig.minionsOf("b").size(), 2);
  }

  /** Guards against a bad minion that is pardoned since another task of the workflow is bad. */
  @Test
  void shouldPardonOnlyTheMinionsOnWhichTheFaultyTaskFailed() {
    DispatcherHarness rig = DispatcherHarness.withMinions(6, "r1");
    rig.submit("a", 1, DispatcherHarness.step(2, 8));
    rig.pass(50);
    String bad = fail(rig, "a", 1);
    String first = fail(rig, "a", 0);
    rig.pass(150);
    String second = fail(rig, "a", 0);
    rig.pass(50);
    rig.cancel("a");
    rig.pass(400);

    rig.submit("b", 1, DispatcherHarness.step(6, 8));
    rig.pass(300);

    assertFalse(rig.minionsOf("b").contains(bad));
    assertTrue(rig.minionsOf("b").containsAll(List.of(first, second)));
  }

  /** Guards against a workflow of many bad tasks that isolates as many good minions. */
  @Test
  void shouldPardonTheMinionsWhenOneWorkflowAloneFailsOnSeveral() {
    DispatcherHarness rig = DispatcherHarness.withMinions(6, "r1");
    rig.submit("a", 1, DispatcherHarness.step(5, 8));
    rig.pass(50);
    for (int task = 0; task < 5; task++) {
      fail(rig, "a", task);
    }
    rig.pass(50);
    rig.cancel("a");
    rig.pass(400);

    rig.submit("b", 1, DispatcherHarness.step(6, 8));
    rig.pass(300);

    assertEquals(rig.minionsOf("b").size(), 6);
  }

  /**
   * Guards against a healthy workflow that is given up because its last attempt runs on minions of
   * which nothing is known while others have just shown that they work.
   */
  @Test
  void shouldMakeTheLastAttemptOnMinionsThatHaveDoneWork() {
    DispatcherHarness rig = DispatcherHarness.withMinions(2, "r1");
    rig.submit("proof", 1, DispatcherHarness.step(2, 8));
    rig.pass(100);
    List<String> proven = rig.minionsOf("proof");
    rig.addMinions(6, "r2");
    rig.pass(100);
    rig.submit("filler", 1, DispatcherHarness.step(6, 5));
    rig.pass(100);
    rig.endAll("proof", RunEnd.Cause.DONE);
    rig.pass(100);
    // The minions of which nothing is known fit more tightly.
    rig.submit("a", 1, DispatcherHarness.step(1, 3));
    rig.pass(50);
    fail(rig, "a", 0);
    rig.pass(400);
    fail(rig, "a", 0);
    rig.pass(600);

    assertEquals(rig.find("a").state(), WorkflowState.WORKFLOW_RUNNING);
    assertTrue(proven.containsAll(rig.minionsOf("a")), rig.minionsOf("a").toString());
  }

  private static void failAll(DispatcherHarness.FakeMinion minion) {
    minion.running().forEach(run -> minion.end(run, RunEnd.Cause.TASK_FAILED));
  }

  /** Fails a task of a workflow; returns the minion on which it ran. */
  private static String fail(DispatcherHarness rig, String workflowId, int task) {
    return rig.endTask(workflowId, task, RunEnd.Cause.TASK_FAILED);
  }
}
