package org.hickoryspar.kernel.requests;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * A bounded queue that serves urgent items first and teams in round-robin order.
 *
 * <p>Capacity is reserved before an item is offered, so that a full queue rejects a request before
 * any work is done for it. Each team may reserve at most an equal share of the capacity; one
 * further share is left free for a team without reservations. Not thread-safe; the owner must guard
 * it with a lock.
 *
 * @param <T> type of the items
 */
public final class FairQueue<T> {

  private final int capacity;
  private final Map<String, Integer> reservedByTeam = new HashMap<>();
  private final Map<String, Deque<Item<T>>> urgent = new LinkedHashMap<>();
  private final Map<String, Deque<Item<T>>> normal = new LinkedHashMap<>();
  private int reserved;

  /**
   * Creates an empty queue.
   *
   * @param capacity maximum number of items, including reservations; at least 1
   * @throws IllegalArgumentException if {@code capacity} is below 1
   */
  public FairQueue(int capacity) {
    if (capacity < 1) {
      throw new IllegalArgumentException("capacity must be at least 1, found " + capacity);
    }
    this.capacity = capacity;
  }

  /**
   * Reserves capacity for one item.
   *
   * @param team team of the item
   * @return false if the queue is full or the team has reached its share
   */
  public boolean reserve(String team) {
    requireNonNull(team, "team is null");
    int teamReserved = reservedByTeam.getOrDefault(team, 0);
    int teamCount = reservedByTeam.size() + (teamReserved == 0 ? 1 : 0);
    int teamLimit = (capacity + teamCount) / (teamCount + 1);
    if (reserved >= capacity || teamReserved >= teamLimit) {
      return false;
    }
    reservedByTeam.put(team, teamReserved + 1);
    reserved++;
    return true;
  }

  /**
   * Releases a reservation whose item is not offered.
   *
   * @param team team that holds the reservation
   * @throws IllegalStateException if the team holds no reservation
   */
  public void release(String team) {
    int teamReserved = reservedByTeam.getOrDefault(team, 0);
    if (teamReserved == 0) {
      throw new IllegalStateException("team " + team + " holds no reservation");
    }
    if (teamReserved == 1) {
      reservedByTeam.remove(team);
    } else {
      reservedByTeam.put(team, teamReserved - 1);
    }
    reserved--;
  }

  /**
   * Appends an item for which capacity was reserved with {@link #reserve}.
   *
   * @param item the item
   */
  public void offer(Item<T> item) {
    requireNonNull(item, "item is null");
    itemsOf(item).addLast(item);
  }

  /**
   * Removes the next item that has not expired and releases its reservation.
   *
   * @param nowMillis monotonic time in milliseconds
   * @param expired receives the expired items that were removed on the way
   * @return the item, or empty if the queue has no unexpired item
   */
  public Optional<Item<T>> poll(long nowMillis, List<Item<T>> expired) {
    return poll(nowMillis, expired, value -> true);
  }

  /**
   * Removes the next item that has not expired and that can be served, and releases its
   * reservation. Items that cannot be served keep their places, and their teams keep their turns.
   *
   * @param nowMillis monotonic time in milliseconds
   * @param expired receives the expired items that were removed on the way
   * @param servable whether an item can be served now, by its value
   * @return the item, or empty if the queue has no such item
   */
  public Optional<Item<T>> poll(
      long nowMillis, List<Item<T>> expired, Predicate<? super T> servable) {
    requireNonNull(expired, "expired is null");
    requireNonNull(servable, "servable is null");
    Optional<Item<T>> found = poll(urgent, nowMillis, expired, servable);
    return found.isPresent() ? found : poll(normal, nowMillis, expired, servable);
  }

  /**
   * Returns a polled item to the front of the queue, even if the queue is full.
   *
   * @param item the item
   */
  public void requeue(Item<T> item) {
    requireNonNull(item, "item is null");
    Map<String, Deque<Item<T>>> itemsByTeam = item.urgent ? urgent : normal;
    Deque<Item<T>> existing = itemsByTeam.remove(item.team);
    Deque<Item<T>> teamItems = existing == null ? new ArrayDeque<>() : existing;
    teamItems.addFirst(item);
    Map<String, Deque<Item<T>>> others = new LinkedHashMap<>(itemsByTeam);
    itemsByTeam.clear();
    itemsByTeam.put(item.team, teamItems);
    itemsByTeam.putAll(others);
    reservedByTeam.merge(item.team, 1, Integer::sum);
    reserved++;
  }

  /**
   * Removes the items whose deadline has passed and releases their reservations.
   *
   * @param nowMillis monotonic time in milliseconds; {@link Long#MAX_VALUE} removes all items
   * @return the removed items
   */
  public List<Item<T>> removeExpired(long nowMillis) {
    List<Item<T>> removed = new ArrayList<>();
    for (Map<String, Deque<Item<T>>> itemsByTeam : List.of(urgent, normal)) {
      for (Deque<Item<T>> items : itemsByTeam.values()) {
        Iterator<Item<T>> iterator = items.iterator();
        while (iterator.hasNext()) {
          Item<T> item = iterator.next();
          if (item.deadlineMillis <= nowMillis) {
            iterator.remove();
            removed.add(item);
          }
        }
      }
      itemsByTeam.values().removeIf(Deque::isEmpty);
    }
    removed.forEach(item -> release(item.team));
    return removed;
  }

  /**
   * Returns the capacity in use: the queued items and the reservations not yet used.
   *
   * @return the number of items and reservations
   */
  public int size() {
    return reserved;
  }

  /**
   * Returns whether no item is queued.
   *
   * @return true if there is no item; reservations do not count
   */
  public boolean isEmpty() {
    return urgent.isEmpty() && normal.isEmpty();
  }

  private Deque<Item<T>> itemsOf(Item<T> item) {
    return (item.urgent ? urgent : normal).computeIfAbsent(item.team, t -> new ArrayDeque<>());
  }

  private Optional<Item<T>> poll(
      Map<String, Deque<Item<T>>> itemsByTeam,
      long nowMillis,
      List<Item<T>> expired,
      Predicate<? super T> servable) {
    Iterator<Map.Entry<String, Deque<Item<T>>>> teams = itemsByTeam.entrySet().iterator();
    while (teams.hasNext()) {
      Map.Entry<String, Deque<Item<T>>> entry = teams.next();
      String team = entry.getKey();
      Deque<Item<T>> items = entry.getValue();
      Optional<Item<T>> found = removeFirst(items, nowMillis, expired, servable);
      if (found.isPresent() || items.isEmpty()) {
        teams.remove();
      }
      if (found.isPresent()) {
        if (!items.isEmpty()) {
          itemsByTeam.put(team, items); // moves the team behind the others
        }
        return found;
      }
    }
    return Optional.empty();
  }

  /** Removes the first item of a team that can be served, and the expired items before it. */
  private Optional<Item<T>> removeFirst(
      Deque<Item<T>> items, long nowMillis, List<Item<T>> expired, Predicate<? super T> servable) {
    Iterator<Item<T>> iterator = items.iterator();
    while (iterator.hasNext()) {
      Item<T> item = iterator.next();
      boolean hasExpired = item.deadlineMillis <= nowMillis;
      if (!hasExpired && !servable.test(item.value)) {
        continue;
      }
      iterator.remove();
      release(item.team);
      if (!hasExpired) {
        return Optional.of(item);
      }
      expired.add(item);
    }
    return Optional.empty();
  }

  /**
   * A queued item.
   *
   * @param team team of the item
   * @param urgent whether the item is served before items that are not urgent
   * @param deadlineMillis monotonic time in milliseconds at which the item expires
   * @param value the queued value
   * @param <T> type of the value
   */
  public record Item<T>(String team, boolean urgent, long deadlineMillis, T value) {}
}
