package org.hickoryspar.kernel.ranking;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BinaryOperator;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Bounds the wait of work that the order of an overloaded service puts last. Of each team, the
 * oldest element that has waited for longer than a limit goes ahead of its turn, one at a time: the
 * next one follows once nothing of it runs any more. An element with n older ones in its team
 * therefore starts after at most the limit and n + 1 times the time that it takes to make room for
 * an element and to run it.
 *
 * @param <T> type of the elements
 */
public final class AgingOrder<T> {

  private final long maxWaitMillis;
  private final Function<T, BacklogItem> itemOf;
  private final Predicate<T> isRunning;
  private final Consumer<T> onMoved;
  private final Map<String, T> lastByTeam = new HashMap<>();

  /**
   * Creates the order.
   *
   * @param maxWaitMillis time after which an element may go ahead of its turn, in milliseconds
   * @param itemOf returns the backlog item of an element
   * @param isRunning whether any part of an element runs
   * @param onMoved receives each element when it goes ahead of its turn for the first time
   */
  public AgingOrder(
      long maxWaitMillis,
      Function<T, BacklogItem> itemOf,
      Predicate<T> isRunning,
      Consumer<T> onMoved) {
    this.maxWaitMillis = maxWaitMillis;
    this.itemOf = requireNonNull(itemOf, "itemOf is null");
    this.isRunning = requireNonNull(isRunning, "isRunning is null");
    this.onMoved = requireNonNull(onMoved, "onMoved is null");
  }

  /**
   * Moves the elements that go ahead of their turn behind the exempt elements at the head of a list
   * and before all others.
   *
   * @param waiting the waiting elements in their order
   * @param wallMillis wall-clock time in milliseconds since the epoch
   * @return a new list of the same elements
   */
  public List<T> apply(List<T> waiting, long wallMillis) {
    Map<String, T> oldestByTeam = oldestByTeam(waiting, wallMillis);
    oldestByTeam.entrySet().removeIf(oldest -> isTaken(oldest.getKey(), oldest.getValue()));
    oldestByTeam.forEach(this::take);
    return moveAhead(waiting, oldestByTeam);
  }

  private Map<String, T> oldestByTeam(List<T> waiting, long wallMillis) {
    BinaryOperator<T> older =
        BinaryOperator.minBy(
            Comparator.comparingLong((T element) -> itemOf.apply(element).readyMillis()));
    Map<String, T> oldestByTeam = new LinkedHashMap<>();
    for (T element : requireNonNull(waiting, "waiting is null")) {
      BacklogItem item = itemOf.apply(element);
      if (!item.isExempt() && wallMillis - item.readyMillis() >= maxWaitMillis) {
        oldestByTeam.merge(item.team(), element, older);
      }
    }
    return oldestByTeam;
  }

  // An element of which a part runs already stays ahead of its turn until all of it runs.
  private boolean isTaken(String team, T oldest) {
    T last = lastByTeam.get(team);
    return last != null && !isSame(last, oldest) && isRunning.test(last);
  }

  private void take(String team, T oldest) {
    T last = lastByTeam.put(team, oldest);
    if (last == null || !isSame(last, oldest)) {
      onMoved.accept(oldest);
    }
  }

  private boolean isSame(T element, T other) {
    return itemOf.apply(element).id().equals(itemOf.apply(other).id());
  }

  private List<T> moveAhead(List<T> waiting, Map<String, T> oldestByTeam) {
    if (oldestByTeam.isEmpty()) {
      return waiting;
    }
    List<T> moved = new ArrayList<>(oldestByTeam.values());
    moved.sort(Comparator.comparingLong(element -> itemOf.apply(element).readyMillis()));
    List<T> rest = new ArrayList<>(waiting);
    rest.removeAll(moved);
    int exempt = 0;
    while (exempt < rest.size() && itemOf.apply(rest.get(exempt)).isExempt()) {
      exempt++;
    }
    rest.addAll(exempt, moved);
    return rest;
  }

  /** Forgets what went ahead of its turn. */
  public void clear() {
    lastByTeam.clear();
  }
}
