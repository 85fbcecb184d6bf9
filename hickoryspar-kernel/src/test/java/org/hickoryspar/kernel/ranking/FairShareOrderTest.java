package org.hickoryspar.kernel.ranking;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.hickoryspar.kernel.ranking.BacklogItem.Chance;
import org.hickoryspar.kernel.value.Resources;
import org.testng.annotations.Test;

/** Tests the order of a backlog that does not fit. */
public class FairShareOrderTest {

  private static final Resources CAPACITY = new Resources(100_000, 100_000, 100);

  private static BacklogItem item(String id, String team, Chance chance, int accelerators) {
    return item(id, team, 1, chance, false, accelerators);
  }

  private static BacklogItem item(
      String id, String team, int priority, Chance chance, boolean isExempt, int accelerators) {
    Resources demand = new Resources(0, 0, accelerators);
    return new BacklogItem(id, team, priority, chance, isExempt, demand, 1_000, 0, 0);
  }

  private static TeamShares shares(Map<String, Double> weights) {
    return new TeamShares(CAPACITY, team -> weights.getOrDefault(team, 1.0));
  }

  private static List<String> order(TeamShares shares, BacklogItem... items) {
    return FairShareOrder.sort(List.of(items), item -> item, shares).stream()
        .map(BacklogItem::id)
        .toList();
  }

  /** Guards against a team that waits behind the burst of another. */
  @Test
  void shouldServeTeamsByTurns() {
    List<BacklogItem> items = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      items.add(item("burst-" + i, "large", Chance.IN_TIME, 4));
    }
    items.add(item("small-0", "small", Chance.IN_TIME, 4));
    items.add(item("small-1", "small", Chance.IN_TIME, 4));

    List<String> order = order(shares(Map.of()), items.toArray(BacklogItem[]::new));

    assertEquals(order.subList(0, 4), List.of("burst-0", "small-0", "burst-1", "small-1"));
  }

  /** Guards against weights that have no effect, or the opposite one. */
  @Test
  void shouldGiveTheHeavierTeamMorePlaces() {
    List<BacklogItem> items = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      items.add(item("heavy-" + i, "heavy", Chance.IN_TIME, 4));
      items.add(item("light-" + i, "light", Chance.IN_TIME, 4));
    }

    List<String> order = order(shares(Map.of("heavy", 3.0)), items.toArray(BacklogItem[]::new));

    long heavy = order.subList(0, 40).stream().filter(id -> id.startsWith("heavy")).count();
    assertEquals(heavy, 30);
  }

  /** Guards against a team beyond its weight that comes first because little of it waits. */
  @Test
  void shouldCountWhatRuns() {
    TeamShares shares = shares(Map.of());
    shares.add("large", new Resources(0, 0, 50));

    List<String> order =
        order(
            shares,
            item("large", "large", Chance.IN_TIME, 4),
            item("small-0", "small", Chance.IN_TIME, 4),
            item("small-1", "small", Chance.IN_TIME, 4));

    assertEquals(order, List.of("small-0", "small-1", "large"));
  }

  /** Guards against a priority, a guarantee or a lasting task that loses its place to shares. */
  @Test
  void shouldKeepPriorityAndExemptWorkAboveShares() {
    TeamShares shares = shares(Map.of());
    shares.add("large", new Resources(0, 0, 50));

    List<String> order =
        order(
            shares,
            item("exempt", "large", 0, Chance.LATE, true, 4),
            item("urgent", "large", 0, Chance.IN_TIME, false, 4),
            item("urgent-small", "small", 0, Chance.IN_TIME, false, 4),
            item("lasting", "large", 1, Chance.OVERDUE, true, 4),
            item("normal-small", "small", 1, Chance.IN_TIME, false, 4));

    assertEquals(order, List.of("exempt", "urgent-small", "urgent", "lasting", "normal-small"));
  }

  /** Guards against a backlog in which all work is late in turn. */
  @Test
  void shouldServeWhatCanBeInTimeFirstAndThenSmallWork() {
    List<String> order =
        order(
            shares(Map.of()),
            item("overdue", "team", Chance.OVERDUE, 1),
            item("late", "team", Chance.LATE, 1),
            item("large", "team", Chance.IN_TIME, 64),
            item("small", "team", Chance.IN_TIME, 2));

    assertEquals(order, List.of("small", "large", "late", "overdue"));
  }
}
