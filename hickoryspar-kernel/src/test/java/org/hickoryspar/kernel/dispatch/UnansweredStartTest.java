package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/** Tests work whose minion responds to renewals and not to starts. */
@Test(groups = "known-red")
public class UnansweredStartTest {

  /** Time after which no start that was sent before can take effect any more. */
  private static final long MAX_WAIT_MILLIS = 30_000;

  /** Guards against a task that a minion holds for ever without starting it. */
  @Test
  void shouldPlaceTaskElsewhereWhenMinionNeverAnswersStarts() {
    DispatcherHarness harness = new DispatcherHarness();
    harness.addMinion("m1", "r1").ignoreStarts();
    harness.advanceTime(100);
    harness.submit("task", 1, DispatcherHarness.step(1, 1));
    harness.advanceTime(100);
    harness.addMinion("m2", "r1");

    harness.advanceTime(MAX_WAIT_MILLIS);

    assertEquals(harness.minionsOf("task"), List.of("m2"), harness.events().toString());
  }
}
