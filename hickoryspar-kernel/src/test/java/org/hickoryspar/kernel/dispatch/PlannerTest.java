package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.WorkflowStep;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the planner under heavy load: wide gangs among small tasks, guaranteed work and bursts. */
public class PlannerTest {

  private static WorkflowStep.Builder withEstimate(WorkflowStep.Builder step, long millis) {
    return step.setEstimatedMillis(millis);
  }

  // ------------------------------------------------------------- wide gangs among small tasks

  /** Guards against a wide gang that starves because small tasks take all released resources. */
  @Test
  void shouldReserveResourcesForAWideGangWhileSmallTasksKeepArriving() {
    DispatcherHarness harness = DispatcherHarness.withMinions(2, "r1");
    harness.submit("early", 2, withEstimate(DispatcherHarness.step(8, 1), 2_000));
    harness.advanceTime(100);
    harness.submit("wide", 1, withEstimate(DispatcherHarness.gang(2, 8), 4_000));
    harness.advanceTime(100);
    harness.submit("small", 2, withEstimate(DispatcherHarness.step(8, 1), 4_000));
    harness.advanceTime(500);
    assertEquals(
        harness.minionsOf("small"), List.of(), "small tasks took the resources of the gang");

    harness.endAllTasks("early", RunEnd.Cause.DONE);
    harness.advanceTime(300);

    assertEquals(harness.minionsOf("wide").size(), 2);
  }

  /** Guards against reserved resources that stay idle although a short task would end in time. */
  @Test
  void shouldBackfillTasksThatEndBeforeAWaitingGangStarts() {
    DispatcherHarness harness = DispatcherHarness.withMinions(2, "r1");
    harness.submit("early", 2, withEstimate(DispatcherHarness.step(8, 1), 6_000));
    harness.advanceTime(100);
    harness.submit("wide", 1, withEstimate(DispatcherHarness.gang(2, 8), 4_000));
    harness.advanceTime(100);

    harness.submit("short", 2, withEstimate(DispatcherHarness.step(2, 1), 500));
    harness.advanceTime(300);

    assertEquals(harness.minionsOf("short").size(), 2);
  }

  /** Guards against a gang that never runs because it is larger than every rack. */
  @Test
  void shouldCrossRacksWhenNoRackIsLargeEnough() {
    DispatcherHarness harness = new DispatcherHarness();
    harness.addMinions(2, "r1");
    harness.addMinions(2, "r2");
    harness.advanceTime(100);

    harness.submit("huge", 1, DispatcherHarness.gang(4, 8));
    harness.advanceTime(300);

    assertEquals(harness.minionsOf("huge").size(), 4);
  }

  /** Guards against a gang that runs slowly across racks although one rack is large enough. */
  @Test
  void shouldWaitForARackThatIsLargeEnough() {
    DispatcherHarness harness = new DispatcherHarness();
    harness.addMinions(2, "r1");
    harness.addMinions(2, "r2");
    harness.advanceTime(100);
    harness.submit("first", 1, withEstimate(DispatcherHarness.gang(1, 8), 3_000));
    harness.submit("second", 1, withEstimate(DispatcherHarness.gang(2, 8), 3_000));
    harness.advanceTime(300);

    harness.submit("third", 1, withEstimate(DispatcherHarness.gang(2, 8), 3_000));
    harness.advanceTime(300);
    assertEquals(harness.minionsOf("third"), List.of());
    harness.endAllTasks("first", RunEnd.Cause.DONE);
    harness.advanceTime(300);

    assertEquals(harness.minionsOf("third").size(), 2);
  }

  /** Guards against small tasks that leave an accelerator in use on each minion. */
  @Test
  void shouldKeepMinionsWholeForAGangWhileSmallTasksComeAndGo() {
    DispatcherHarness harness = DispatcherHarness.withMinions(4, "r1");
    for (int i = 0; i < 8; i++) {
      harness.submit("small-" + i, 2, withEstimate(DispatcherHarness.step(2, 1), 20_000));
      harness.advanceTime(50);
      if (i % 2 == 1) {
        harness.endAllTasks("small-" + (i - 1), RunEnd.Cause.DONE);
        harness.advanceTime(50);
      }
    }

    harness.submit("gang", 1, withEstimate(DispatcherHarness.gang(2, 8), 4_000));
    harness.advanceTime(200);

    assertEquals(harness.minionsOf("gang").size(), 2);
  }

  // ------------------------------------------------------------- guaranteed work

  /** Guards against guaranteed work that waits for less urgent work to end. */
  @Test
  void shouldPreemptForGuaranteedWorkThatWouldStartTooLate() {
    DispatcherHarness harness = DispatcherHarness.withMinions(2, "r1");
    harness.submit("long", 2, withEstimate(DispatcherHarness.step(16, 1), 20_000));
    harness.advanceTime(300);
    assertEquals(harness.minionsOf("long").size(), 16);

    harness.submit("urgent", 0, withEstimate(DispatcherHarness.gang(2, 8), 2_000));
    harness.advanceTime(2_900);

    assertEquals(harness.minionsOf("urgent").size(), 2);
  }

  /** Guards against a preemption although the resources are released soon. */
  @Test
  void shouldNotPreemptWhenResourcesAreFreedInTime() {
    DispatcherHarness harness = DispatcherHarness.withMinions(1, "r1");
    harness.submit("ending", 2, withEstimate(DispatcherHarness.step(1, 8), 1_000));
    harness.advanceTime(300);

    harness.submit("urgent", 0, withEstimate(DispatcherHarness.gang(1, 8), 4_000));
    harness.advanceTime(500);
    harness.endAllTasks("ending", RunEnd.Cause.DONE);
    harness.advanceTime(300);

    assertEquals(harness.countEvents("RUN_PREEMPTED"), 0);
    assertEquals(harness.minionsOf("urgent").size(), 1);
  }

  @DataProvider
  Object[][] teamLoads() {
    // A team is guaranteed 16 accelerators. Columns: accelerators in use before, preempts others.
    return new Object[][] {{8, true}, {16, false}};
  }

  /** Guards against work beyond a guarantee that destroys more work than it does. */
  @Test(dataProvider = "teamLoads")
  void shouldPreemptAtALossOnlyForGuaranteedWork(int used, boolean preempts) {
    DispatcherHarness harness = DispatcherHarness.withMinions(4, "r1");
    harness.submit("own", 0, withEstimate(DispatcherHarness.step(used / 8, 8), 20_000));
    harness.submit("long", 2, withEstimate(DispatcherHarness.step(32 - used, 1), 20_000));
    harness.advanceTime(6_000);

    harness.submit("urgent", 0, withEstimate(DispatcherHarness.gang(1, 8), 500));
    harness.advanceTime(2_900);

    assertEquals(!harness.minionsOf("urgent").isEmpty(), preempts);
  }

  /** Guards against victims that lose their work while others could resume from a checkpoint. */
  @Test
  void shouldPreferVictimsWithCheckpoints() {
    DispatcherHarness harness = new DispatcherHarness();
    harness.addMinions(1, "r1");
    harness.addMinions(1, "r2");
    harness.advanceTime(100);
    harness.submit(
        "saving", 2, withEstimate(DispatcherHarness.step(8, 1).setCheckpointing(true), 20_000));
    harness.submit("losing", 2, withEstimate(DispatcherHarness.step(8, 1), 20_000));
    harness.advanceTime(3_000);

    harness.submit("urgent", 0, withEstimate(DispatcherHarness.gang(1, 8), 2_000));
    harness.advanceTime(2_900);

    assertTrue(harness.countEvents("RUN_PREEMPTED saving") > 0);
    assertFalse(harness.countEvents("RUN_PREEMPTED losing") > 0);
  }

  // ------------------------------------------------------------- lost work

  @DataProvider
  Object[][] beneficiaries() {
    // Only "team" has a guarantee. Columns: team, how often the work is preempted.
    return new Object[][] {{"team", 4}, {"other", 2}};
  }

  /** Guards against work that is preempted each time that it starts. */
  @Test(dataProvider = "beneficiaries")
  void shouldPreemptWorkMoreThanTwiceOnlyForGuaranteedWork(String team, int expected) {
    DispatcherHarness harness = DispatcherHarness.withMinions(1, "r1");
    harness.submitFor("other", "low", 2, withEstimate(DispatcherHarness.step(1, 8), 20_000));
    harness.advanceTime(300);

    for (int i = 0; i < 4; i++) {
      harness.submitFor(team, "urgent-" + i, 0, withEstimate(DispatcherHarness.step(1, 8), 4_000));
      harness.advanceTime(4_000);
      harness.endAllTasks("urgent-" + i, RunEnd.Cause.DONE);
      harness.advanceTime(500);
    }

    assertEquals(harness.countEvents("RUN_PREEMPTED low"), expected);
  }

  /** Guards against one group that is preempted twice while another would release as much. */
  @Test
  void shouldPreferVictimsThatWereNotInterrupted() {
    DispatcherHarness harness = DispatcherHarness.withMinions(2, "r1");
    for (String id : List.of("first", "second")) {
      harness.submit(
          id, 2, withEstimate(DispatcherHarness.step(1, 8).setCheckpointing(true), 20_000));
    }
    harness.advanceTime(300);

    for (int i = 0; i < 2; i++) {
      harness.submitFor("other", "u-" + i, 0, withEstimate(DispatcherHarness.step(1, 8), 4_000));
      harness.advanceTime(4_000);
      harness.endAllTasks("u-" + i, RunEnd.Cause.DONE);
      harness.advanceTime(500);
    }

    assertEquals(harness.countEvents("RUN_PREEMPTED first"), 1);
    assertEquals(harness.countEvents("RUN_PREEMPTED second"), 1);
  }

  // ------------------------------------------------------------- bursts

  /** Guards against a burst in which all work is late because late work is started first. */
  @Test
  void shouldPreferWorkThatCanStillBeInTime() {
    DispatcherHarness harness = DispatcherHarness.withMinions(1, "r1");
    harness.submit("running", 1, withEstimate(DispatcherHarness.step(1, 8), 60_000));
    harness.advanceTime(100);
    harness.submit("late", 1, withEstimate(DispatcherHarness.step(1, 8), 1_000));
    harness.advanceTime(5_000);
    harness.submit("fresh", 1, withEstimate(DispatcherHarness.step(1, 8), 1_000));

    harness.endAllTasks("running", RunEnd.Cause.DONE);
    harness.advanceTime(300);

    assertEquals(harness.minionsOf("late"), List.of());
    assertEquals(harness.minionsOf("fresh").size(), 1);
  }

  /** Guards against work of a lower priority that starts before work of a higher one. */
  @Test
  void shouldStartWorkOfAHigherPriorityFirst() {
    DispatcherHarness harness = DispatcherHarness.withMinions(1, "r1");
    harness.submit("running", 1, withEstimate(DispatcherHarness.step(1, 8), 60_000));
    harness.advanceTime(100);
    harness.submit("low", 2, withEstimate(DispatcherHarness.step(1, 8), 1_000));
    harness.submit("high", 1, withEstimate(DispatcherHarness.step(1, 8), 1_000));
    harness.advanceTime(100);

    harness.endAllTasks("running", RunEnd.Cause.DONE);
    harness.advanceTime(300);

    assertEquals(harness.minionsOf("high").size(), 1);
    assertEquals(harness.minionsOf("low"), List.of());
  }
}
