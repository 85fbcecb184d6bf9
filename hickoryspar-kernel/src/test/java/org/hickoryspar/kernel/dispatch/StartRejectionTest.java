package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

public class StartRejectionTest {

  /** A task must start elsewhere before its workflow counts as having nothing running. */
  private static final int MAX_RESTART_MILLIS = 500;

  /** Guards against a task that is placed again and again on a minion that rejects its start. */
  @Test
  void shouldStartTaskElsewhereWhenMinionRejectsIt() {
    DispatcherHarness harness = new DispatcherHarness();
    harness.addMinion("m1", "r1").becomeUnhealthy();
    harness.addMinion("m2", "r1");
    harness.advanceTime(100);

    harness.submit("w", 1, DispatcherHarness.step(1, 1));
    harness.advanceTime(MAX_RESTART_MILLIS);

    assertEquals(harness.minionsOf("w"), List.of("m2"));
  }

  /** Guards against a gang of which the other members stay after one start was rejected. */
  @Test
  void shouldStartWholeGangElsewhereWhenMinionRejectsOneMember() {
    DispatcherHarness harness = new DispatcherHarness();
    harness.addMinion("m1", "r1").becomeUnhealthy();
    harness.addMinions(2, "r2");
    harness.addMinion("m2", "r1");
    harness.advanceTime(100);

    harness.submit("w", 1, DispatcherHarness.gang(2, 8));
    harness.advanceTime(4 * MAX_RESTART_MILLIS);

    assertEquals(harness.minionsOf("w"), List.of("r2-0", "r2-1"));
  }
}
