package org.hickoryspar.node.cluster;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.hickoryspar.kernel.membership.ClusterView;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class LeaderWatchTest {

  private static final ClusterView VIEW =
      new ClusterView("a/1", List.of("a/1", "b/1", "c/1"), List.of(), List.of());

  private final List<Long> reportedMillis = new ArrayList<>();
  private final LeaderWatch watch =
      new LeaderWatch((view, sinceMillis) -> reportedMillis.add(sinceMillis));

  // -- update

  @DataProvider
  public Object[][] times() {
    return new Object[][] {
      {1_999, List.of()},
      {2_000, List.of(2_000L)},
      {6_999, List.of(2_000L)},
      {7_000, List.of(2_000L, 7_000L)},
    };
  }

  /** Guards against a cluster without a majority of which the logs say nothing. */
  @Test(dataProvider = "times")
  public void shouldReportWhenNoLeaderIsKnownForLong(int untilMillis, List<Long> expected) {
    reportedMillis.clear();
    watch.update(VIEW, true, 0);
    for (int millis = 100; millis <= untilMillis + 100; millis += 1) {
      watch.update(VIEW, false, millis);
    }

    assertEquals(reportedMillis, expected);
  }

  @Test
  public void shouldNotReportWhenLeaderIsKnownAgain() {
    reportedMillis.clear();
    watch.update(VIEW, false, 0);
    watch.update(VIEW, true, 1_000);
    watch.update(VIEW, false, 1_500);
    watch.update(VIEW, false, 2_500);

    assertEquals(reportedMillis, List.of());
  }
}
