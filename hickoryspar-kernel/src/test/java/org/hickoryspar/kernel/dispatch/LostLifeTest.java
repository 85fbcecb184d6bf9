package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that work of a minion that is lost is placed again, whatever its lives have reported. */
public class LostLifeTest {

  /** Time after which every lease of the lost minion has expired. */
  private static final long MAX_RECOVERY_MILLIS = 15_000;

  private static final long UPTIME_MILLIS = 100_000;

  @DataProvider
  Object[][] lastReports() {
    return new Object[][] {{"none", false}, {"one of a new life", true}};
  }

  /** Guards against a run that counts as starting for as long as an earlier life was up. */
  @Test(dataProvider = "lastReports")
  void shouldPlaceTaskAgainWhenMinionIsLost(String lastReport, boolean startsNewLife) {
    DispatcherHarness harness = new DispatcherHarness();
    FakeMinion lost = harness.addMinion("lost", "r1");
    harness.advanceTime(UPTIME_MILLIS);
    harness.submit("task", 1, DispatcherHarness.step(1, 8));
    harness.advanceTime(1_000);
    assertEquals(harness.minionsOf("task"), List.of("lost"));
    harness.addMinion("other", "r1");
    harness.advanceTime(1_000);

    if (startsNewLife) {
      lost.restart(harness.nowMillis());
      harness.report(lost);
    }
    lost.crash();
    harness.advanceTime(MAX_RECOVERY_MILLIS);

    assertEquals(harness.minionsOf("task"), List.of("other"), harness.events().toString());
  }
}
