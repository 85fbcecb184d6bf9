package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.WorkflowStep;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Loads that a heavy day brings: bursts, wide gangs among small tasks, guaranteed work. */
public class PlannerTest {

  private static WorkflowStep.Builder lasting(WorkflowStep.Builder step, long millis) {
    return step.setEstimatedMillis(millis);
  }

  // ------------------------------------------------------------- wide gangs among small tasks

  /** Guards against a wide gang that starves because small tasks take each place that is freed. */
  @Test
  void shouldKeepRoomForAWideGangWhileSmallTasksKeepComing() {
    DispatcherHarness rig = DispatcherHarness.withMinions(2, "r1");
    rig.submit("early", 2, lasting(DispatcherHarness.step(8, 1), 2_000));
    rig.pass(100);
    rig.submit("wide", 1, lasting(DispatcherHarness.gang(2, 8), 4_000));
    rig.pass(100);
    rig.submit("small", 2, lasting(DispatcherHarness.step(8, 1), 4_000));
    rig.pass(500);
    assertEquals(rig.minionsOf("small"), List.of(), "small tasks took the room of the gang");

    rig.endAll("early", RunEnd.Cause.DONE);
    rig.pass(300);

    assertEquals(rig.minionsOf("wide").size(), 2);
  }

  /** Guards against room that lies idle although a short task would be gone in time. */
  @Test
  void shouldLendTheRoomOfAWaitingGangToTasksThatEndBefore() {
    DispatcherHarness rig = DispatcherHarness.withMinions(2, "r1");
    rig.submit("early", 2, lasting(DispatcherHarness.step(8, 1), 6_000));
    rig.pass(100);
    rig.submit("wide", 1, lasting(DispatcherHarness.gang(2, 8), 4_000));
    rig.pass(100);

    rig.submit("short", 2, lasting(DispatcherHarness.step(2, 1), 500));
    rig.pass(300);

    assertEquals(rig.minionsOf("short").size(), 2);
  }

  /** Guards against a gang that is larger than every rack and never runs. */
  @Test
  void shouldCrossRacksWhenNoRackIsLargeEnough() {
    DispatcherHarness rig = new DispatcherHarness();
    rig.addMinions(2, "r1");
    rig.addMinions(2, "r2");
    rig.pass(100);

    rig.submit("huge", 1, DispatcherHarness.gang(4, 8));
    rig.pass(300);

    assertEquals(rig.minionsOf("huge").size(), 4);
  }

  /** Guards against a gang across racks, where it is slow, although one rack is large enough. */
  @Test
  void shouldWaitForARackThatIsLargeEnough() {
    DispatcherHarness rig = new DispatcherHarness();
    rig.addMinions(2, "r1");
    rig.addMinions(2, "r2");
    rig.pass(100);
    rig.submit("first", 1, lasting(DispatcherHarness.gang(1, 8), 3_000));
    rig.submit("second", 1, lasting(DispatcherHarness.gang(2, 8), 3_000));
    rig.pass(300);

    rig.submit("third", 1, lasting(DispatcherHarness.gang(2, 8), 3_000));
    rig.pass(300);
    assertEquals(rig.minionsOf("third"), List.of());
    rig.endAll("first", RunEnd.Cause.DONE);
    rig.pass(300);

    assertEquals(rig.minionsOf("third").size(), 2);
  }

  // ------------------------------------------------------------- guaranteed work

  /** Guards against guaranteed work that waits for work that can wait. */
  @Test
  void shouldStopOthersForGuaranteedWorkThatWouldStartTooLate() {
    DispatcherHarness rig = DispatcherHarness.withMinions(2, "r1");
    rig.submit("long", 2, lasting(DispatcherHarness.step(16, 1), 20_000));
    rig.pass(300);
    assertEquals(rig.minionsOf("long").size(), 16);

    rig.submit("urgent", 0, lasting(DispatcherHarness.gang(2, 8), 2_000));
    rig.pass(2_900);

    assertEquals(rig.minionsOf("urgent").size(), 2);
  }

  /** Guards against work that is thrown away although the room would be free soon. */
  @Test
  void shouldStopNothingWhenRoomIsFreeInTime() {
    DispatcherHarness rig = DispatcherHarness.withMinions(1, "r1");
    rig.submit("ending", 2, lasting(DispatcherHarness.step(1, 8), 1_000));
    rig.pass(300);

    rig.submit("urgent", 0, lasting(DispatcherHarness.gang(1, 8), 4_000));
    rig.pass(500);
    rig.endAll("ending", RunEnd.Cause.DONE);
    rig.pass(300);

    assertEquals(rig.count("RUN_PREEMPTED"), 0);
    assertEquals(rig.minionsOf("urgent").size(), 1);
  }

  @DataProvider
  Object[][] teamLoads() {
    // A team is guaranteed 16 accelerators. Columns: accelerators in use before, stops others.
    return new Object[][] {{8, true}, {16, false}};
  }

  /** Guards against work beyond a guarantee that throws away more than it is worth. */
  @Test(dataProvider = "teamLoads")
  void shouldStopMoreThanItIsWorthOnlyForGuaranteedWork(int used, boolean stopsOthers) {
    DispatcherHarness rig = DispatcherHarness.withMinions(4, "r1");
    rig.submit("own", 0, lasting(DispatcherHarness.step(used / 8, 8), 20_000));
    rig.submit("long", 2, lasting(DispatcherHarness.step(32 - used, 1), 20_000));
    rig.pass(6_000);

    rig.submit("urgent", 0, lasting(DispatcherHarness.gang(1, 8), 500));
    rig.pass(2_900);

    assertEquals(!rig.minionsOf("urgent").isEmpty(), stopsOthers);
  }

  /** Guards against victims whose work is lost while others could go on where they were. */
  @Test
  void shouldPreferVictimsThatSaveTheirWork() {
    DispatcherHarness rig = new DispatcherHarness();
    rig.addMinions(1, "r1");
    rig.addMinions(1, "r2");
    rig.pass(100);
    rig.submit("saving", 2, lasting(DispatcherHarness.step(8, 1).setCheckpointing(true), 20_000));
    rig.submit("losing", 2, lasting(DispatcherHarness.step(8, 1), 20_000));
    rig.pass(3_000);

    rig.submit("urgent", 0, lasting(DispatcherHarness.gang(1, 8), 2_000));
    rig.pass(2_900);

    assertTrue(rig.count("RUN_PREEMPTED saving") > 0);
    assertFalse(rig.count("RUN_PREEMPTED losing") > 0);
  }

  // ------------------------------------------------------------- bursts

  /** Guards against a burst in which all are late because those come first that are late anyway. */
  @Test
  void shouldStartFirstWhatCanStillBeInTime() {
    DispatcherHarness rig = DispatcherHarness.withMinions(1, "r1");
    rig.submit("running", 1, lasting(DispatcherHarness.step(1, 8), 60_000));
    rig.pass(100);
    rig.submit("late", 1, lasting(DispatcherHarness.step(1, 8), 1_000));
    rig.pass(5_000);
    rig.submit("fresh", 1, lasting(DispatcherHarness.step(1, 8), 1_000));

    rig.endAll("running", RunEnd.Cause.DONE);
    rig.pass(300);

    assertEquals(rig.minionsOf("late"), List.of());
    assertEquals(rig.minionsOf("fresh").size(), 1);
  }

  /** Guards against less urgent work that runs before more urgent work. */
  @Test
  void shouldStartWorkOfAHigherPriorityFirst() {
    DispatcherHarness rig = DispatcherHarness.withMinions(1, "r1");
    rig.submit("running", 1, lasting(DispatcherHarness.step(1, 8), 60_000));
    rig.pass(100);
    rig.submit("low", 2, lasting(DispatcherHarness.step(1, 8), 1_000));
    rig.submit("high", 1, lasting(DispatcherHarness.step(1, 8), 1_000));
    rig.pass(100);

    rig.endAll("running", RunEnd.Cause.DONE);
    rig.pass(300);

    assertEquals(rig.minionsOf("high").size(), 1);
    assertEquals(rig.minionsOf("low"), List.of());
  }
}
