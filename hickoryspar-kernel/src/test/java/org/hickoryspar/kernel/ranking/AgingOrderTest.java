package org.hickoryspar.kernel.ranking;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hickoryspar.kernel.ranking.BacklogItem.Chance;
import org.hickoryspar.kernel.value.Resources;
import org.testng.annotations.Test;

/** Tests which work goes ahead of its turn. */
public class AgingOrderTest {

  private static final long MAX_WAIT_MILLIS = 10_000;

  private final Set<BacklogItem> running = new HashSet<>();
  private final List<String> moved = new ArrayList<>();
  private final AgingOrder<BacklogItem> agingOrder =
      new AgingOrder<>(
          MAX_WAIT_MILLIS, item -> item, running::contains, item -> moved.add(item.id()));

  private static BacklogItem item(String id, String team, boolean isExempt, long readyMillis) {
    return new BacklogItem(
        id, team, 1, Chance.OVERDUE, isExempt, Resources.NONE, 1_000, readyMillis, 0);
  }

  private List<String> apply(long nowMillis, BacklogItem... waiting) {
    return agingOrder.apply(List.of(waiting), nowMillis).stream().map(BacklogItem::id).toList();
  }

  /** Guards against work that waits for ever because other work always comes first. */
  @Test
  void shouldMoveTheOldestOfEachTeamBehindExemptWork() {
    List<String> order =
        apply(
            20_000,
            item("exempt", "a", true, 0),
            item("fresh", "b", false, 19_000),
            item("old", "a", false, 5_000),
            item("older", "a", false, 4_000),
            item("other", "b", false, 3_000));

    assertEquals(order, List.of("exempt", "other", "older", "fresh", "old"));
  }

  /** Guards against old work that takes all room before work that can be in time. */
  @Test
  void shouldMoveTheNextOnlyOnceTheLastHasEnded() {
    BacklogItem first = item("first", "a", false, 0);
    BacklogItem second = item("second", "a", false, 1);
    BacklogItem fresh = item("fresh", "a", false, 19_000);
    assertEquals(apply(20_000, fresh, first, second), List.of("first", "fresh", "second"));

    running.add(first);
    assertEquals(apply(20_100, fresh, second), List.of("fresh", "second"));

    running.clear();
    assertEquals(apply(20_200, fresh, second), List.of("second", "fresh"));
    assertEquals(moved, List.of("first", "second"), "reported once each");
  }
}
