package org.hickoryspar.kernel.ranking;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Orders the backlog of a service that does not fit.
 *
 * <ol>
 *   <li>Work of a higher priority comes first, and within a priority the exempt work, as it was.
 *   <li>Work whose result is of little use comes after all other work of its priority.
 *   <li>The next place goes to the team with the smallest share by its weight, where each placed
 *       item counts as used. A team that sends too much work therefore competes with itself, and
 *       one that is beyond its weight is served last.
 *   <li>Within a team, work that can still be in time comes first, then small work, then work that
 *       must start early: of work that does not fit altogether, most of it is then in time.
 * </ol>
 */
public final class FairShareOrder {

  /** Binary digits of a class of sizes: sizes of a class differ by a factor of 4 at most. */
  private static final int SIZE_CLASS_BITS = 2;

  private FairShareOrder() {}

  /**
   * Returns the elements of a list in the order of their backlog items.
   *
   * @param elements the elements, of which equal ones keep their order
   * @param itemOf returns the backlog item of an element
   * @param shares what the teams use now
   * @param <T> type of the elements
   * @return a new list of the same elements
   */
  public static <T> List<T> sort(
      List<T> elements, Function<T, BacklogItem> itemOf, TeamShares shares) {
    requireNonNull(itemOf, "itemOf is null");
    TeamShares expected = requireNonNull(shares, "shares is null").copy();
    TreeMap<Tier, List<T>> tiers = new TreeMap<>(Tier.ORDER);
    for (T element : requireNonNull(elements, "elements is null")) {
      tiers.computeIfAbsent(Tier.of(itemOf.apply(element)), tier -> new ArrayList<>()).add(element);
    }
    List<T> sorted = new ArrayList<>(elements.size());
    tiers.forEach(
        (tier, members) -> {
          List<T> ordered = tier.isExempt ? members : byTeam(members, itemOf, expected);
          ordered.forEach(element -> place(itemOf.apply(element), expected));
          sorted.addAll(ordered);
        });
    return sorted;
  }

  private static void place(BacklogItem item, TeamShares expected) {
    expected.add(item.team(), item.demand());
  }

  private static <T> List<T> byTeam(
      List<T> members, Function<T, BacklogItem> itemOf, TeamShares shares) {
    TeamShares expected = shares.copy();
    Comparator<T> withinTeam = Comparator.comparing(itemOf, withinTeam(shares));
    Map<String, TeamQueue<T>> queues = new LinkedHashMap<>();
    members.stream()
        .sorted(withinTeam)
        .forEach(
            element ->
                queues
                    .computeIfAbsent(itemOf.apply(element).team(), team -> new TeamQueue<T>())
                    .elements
                    .add(element));
    queues.forEach((team, queue) -> queue.weightedShare = expected.weightedShare(team));
    List<T> ordered = new ArrayList<>(members.size());
    while (!queues.isEmpty()) {
      TeamQueue<T> turn =
          Collections.min(
              queues.values(), Comparator.comparingDouble(queue -> queue.weightedShare));
      T next = turn.elements.remove();
      String team = itemOf.apply(next).team();
      if (turn.elements.isEmpty()) {
        queues.remove(team);
      }
      place(itemOf.apply(next), expected);
      turn.weightedShare = expected.weightedShare(team);
      ordered.add(next);
    }
    return ordered;
  }

  private static Comparator<BacklogItem> withinTeam(TeamShares shares) {
    return Comparator.comparing(BacklogItem::chance)
        .thenComparingInt(item -> sizeClass(shares.workMicros(item)))
        .thenComparingLong(BacklogItem::latestStartMillis);
  }

  private static int sizeClass(long workMicros) {
    return (Long.SIZE - Long.numberOfLeadingZeros(workMicros)) / SIZE_CLASS_BITS;
  }

  /** What waits of a team, with the share that it uses and that is placed before it. */
  private static final class TeamQueue<T> {

    private final Deque<T> elements = new ArrayDeque<>();
    private double weightedShare;
  }

  /** Parts of the backlog that are served one after the other. */
  private record Tier(int priority, boolean isExempt, boolean isOverdue) {

    static final Comparator<Tier> ORDER =
        Comparator.comparingInt(Tier::priority)
            .thenComparing(Tier::isExempt, Comparator.reverseOrder())
            .thenComparing(Tier::isOverdue);

    static Tier of(BacklogItem item) {
      boolean isOverdue = item.chance() == BacklogItem.Chance.OVERDUE;
      return new Tier(item.priority(), item.isExempt(), isOverdue && !item.isExempt());
    }
  }
}
