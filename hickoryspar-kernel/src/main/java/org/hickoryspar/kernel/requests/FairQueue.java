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

/**
 * A bounded queue that serves teams in turn, urgent items first.
 *
 * <p>A place is reserved before an item may be offered, so that a full queue rejects before any
 * work is done for the item. A team holds at most an equal part of the places, counting one part
 * for a team that has none yet: there is always a place for a newcomer. Not safe for use by several
 * threads; the owner guards it with the lock of its shard.
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
   * @param capacity most places, at least 1
   */
  public FairQueue(int capacity) {
    if (capacity < 1) {
      throw new IllegalArgumentException("capacity " + capacity);
    }
    this.capacity = capacity;
  }

  /**
   * Reserves a place.
   *
   * @param team the team that wants it
   * @return false if the queue, or the part of the team, is full
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
   * Gives back a reserved place whose item is not offered.
   *
   * @param team the team that reserved it
   */
  public void release(String team) {
    int teamReserved = reservedByTeam.getOrDefault(team, 0);
    if (teamReserved == 0) {
      throw new IllegalStateException("team " + team + " holds no place");
    }
    if (teamReserved == 1) {
      reservedByTeam.remove(team);
    } else {
      reservedByTeam.put(team, teamReserved - 1);
    }
    reserved--;
  }

  /**
   * Puts an item on a reserved place.
   *
   * @param item the item
   */
  public void offer(Item<T> item) {
    requireNonNull(item, "item is null");
    itemsOf(item).addLast(item);
  }

  /**
   * Takes the next item that has not expired and frees its place.
   *
   * @param nowMillis monotonic time
   * @param expired receives the items that expired before; their places are free
   * @return the item, or empty when none waits
   */
  public Optional<Item<T>> poll(long nowMillis, List<Item<T>> expired) {
    requireNonNull(expired, "expired is null");
    Optional<Item<T>> found = poll(urgent, nowMillis, expired);
    return found.isPresent() ? found : poll(normal, nowMillis, expired);
  }

  /**
   * Puts an item that was polled back to the front, whether or not a place is free.
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
   * Removes the items whose deadline has passed, or all of them.
   *
   * @param nowMillis monotonic time; {@link Long#MAX_VALUE} removes all items
   * @return the items; their places are free
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
   * Returns the number of places in use, reserved ones included.
   *
   * @return the number
   */
  public int size() {
    return reserved;
  }

  private Deque<Item<T>> itemsOf(Item<T> item) {
    return (item.urgent ? urgent : normal).computeIfAbsent(item.team, t -> new ArrayDeque<>());
  }

  private Optional<Item<T>> poll(
      Map<String, Deque<Item<T>>> itemsByTeam, long nowMillis, List<Item<T>> expired) {
    while (!itemsByTeam.isEmpty()) {
      String team = itemsByTeam.keySet().iterator().next();
      Deque<Item<T>> items = requireNonNull(itemsByTeam.remove(team), "team without items");
      Item<T> item = items.removeFirst();
      if (!items.isEmpty()) {
        itemsByTeam.put(team, items); // behind the other teams
      }
      release(team);
      if (item.deadlineMillis > nowMillis) {
        return Optional.of(item);
      }
      expired.add(item);
    }
    return Optional.empty();
  }

  /**
   * Something that waits.
   *
   * @param team the team that it belongs to
   * @param urgent whether it goes before items that are not
   * @param deadlineMillis monotonic time from which it is useless
   * @param value what waits
   * @param <T> type of the value
   */
  public record Item<T>(String team, boolean urgent, long deadlineMillis, T value) {}
}
