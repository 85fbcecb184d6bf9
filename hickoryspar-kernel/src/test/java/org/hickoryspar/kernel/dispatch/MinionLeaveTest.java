package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.hickoryspar.protocol.MinionLife;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class MinionLeaveTest {

  private static final long LEASE_EXPIRY_MILLIS = DispatcherHarness.SETTINGS.leaseExpiryMillis();

  private DispatcherHarness harness;
  private FakeMinion minion;

  /** A minion has drained, ended and started again, and runs a task in its second life. */
  @BeforeMethod
  void restartMinion() {
    harness = new DispatcherHarness();
    minion = harness.addMinion("m1", "r1");
    harness.advanceTime(100);
    minion.startDraining();
    harness.report(minion);
    harness.advanceTime(100);
    minion.crash();
    harness.advanceTime(1_000);
    minion.restart(harness.nowMillis());
    harness.report(minion);
    harness.advanceTime(200);
    harness.submit("a", 1, DispatcherHarness.step(1, 4));
    harness.advanceTime(200);
    assertEquals(harness.minionsOf("a"), List.of("m1"));
    harness.addMinion("m2", "r1");
  }

  // -- handleLeave

  @DataProvider
  Object[][] lateLeaves() {
    MinionLife earlierLife = MinionLife.newBuilder().setMinionId("m1").setBornMillis(1_000).build();
    MinionLife unknownLife = MinionLife.newBuilder().setMinionId("m1").build();
    return new Object[][] {
      {"of the earlier life", earlierLife, true},
      {"of the earlier life", earlierLife, false},
      {"of an unknown life", unknownLife, true},
      {"of an unknown life", unknownLife, false},
      {"taken for the new life", null, true},
      {"taken for the new life", null, false},
    };
  }

  /**
   * Guards against a task that runs twice because a late announcement of an earlier life, which was
   * delayed by a paused process, is applied to the life that runs it.
   */
  @Test(dataProvider = "lateLeaves")
  void shouldKeepTasksWhenLeaveOfEarlierLifeIsLate(
      String kind, MinionLife announced, boolean reachable) {
    minion.setReachable(reachable);
    harness.leave(announced == null ? minion.life() : announced);
    harness.advanceTime(2_000);
    minion.setReachable(true);
    harness.advanceTime(2 * LEASE_EXPIRY_MILLIS);
    assertEquals(harness.minionsOf("a"), List.of("m1"));

    // The second minion has room for two of the three tasks.
    harness.submit("b", 1, DispatcherHarness.step(3, 4));
    harness.advanceTime(500);
    assertTrue(harness.minionsOf("b").contains("m1"), "the minion gets no new work");
  }

  /** Guards against tasks that wait for the expiry of a lease although their minion has ended. */
  @Test
  void shouldRestartTasksSoonWhenDrainingMinionLeaves() {
    minion.startDraining();
    harness.report(minion);
    harness.advanceTime(200);
    harness.leave(minion.life());
    minion.crash();
    harness.advanceTime(1_000);
    assertEquals(harness.minionsOf("a"), List.of("m2"));
  }
}
