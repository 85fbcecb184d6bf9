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
  private final Map<String, Integer> placesByTeam = new HashMap<>();
  private final Map<String, Deque<Item<T>>> urgent = new LinkedHashMap<>();
  private final Map<String, Deque<Item<T>>> normal = new LinkedHashMap<>();
  private int places;

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
    int held = placesByTeam.getOrDefault(team, 0);
    int teams = placesByTeam.size() + (held == 0 ? 1 : 0);
    int part = (capacity + teams) / (teams + 1);
    if (places >= capacity || held >= part) {
      return false;
    }
    placesByTeam.put(team, held + 1);
    places++;
    return true;
  }

  /**
   * Gives back a reserved place whose item is not offered.
   *
   * @param team the team that reserved it
   */
  public void release(String team) {
    int held = placesByTeam.getOrDefault(team, 0);
    if (held == 0) {
      throw new IllegalStateException("team " + team + " holds no place");
    }
    if (held == 1) {
      placesByTeam.remove(team);
    } else {
      placesByTeam.put(team, held - 1);
    }
    places--;
  }

  /**
   * Puts an item on a reserved place.
   *
   * @param item the item
   */
  public void offer(Item<T> item) {
    requireNonNull(item, "item is null");
    byTeam(item).addLast(item);
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
  public void putBack(Item<T> item) {
    requireNonNull(item, "item is null");
    Map<String, Deque<Item<T>>> map = item.urgent ? urgent : normal;
    Deque<Item<T>> own = map.remove(item.team);
    Deque<Item<T>> first = own == null ? new ArrayDeque<>() : own;
    first.addFirst(item);
    Map<String, Deque<Item<T>>> others = new LinkedHashMap<>(map);
    map.clear();
    map.put(item.team, first);
    map.putAll(others);
    placesByTeam.merge(item.team, 1, Integer::sum);
    places++;
  }

  /**
   * Removes the items whose deadline has passed, or all of them.
   *
   * @param nowMillis monotonic time; {@link Long#MAX_VALUE} removes all items
   * @return the items; their places are free
   */
  public List<Item<T>> removeExpired(long nowMillis) {
    List<Item<T>> removed = new ArrayList<>();
    for (Map<String, Deque<Item<T>>> map : List.of(urgent, normal)) {
      for (Deque<Item<T>> items : map.values()) {
        Iterator<Item<T>> each = items.iterator();
        while (each.hasNext()) {
          Item<T> item = each.next();
          if (item.deadlineMillis <= nowMillis) {
            each.remove();
            removed.add(item);
          }
        }
      }
      map.values().removeIf(Deque::isEmpty);
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
    return places;
  }

  private Deque<Item<T>> byTeam(Item<T> item) {
    return (item.urgent ? urgent : normal).computeIfAbsent(item.team, t -> new ArrayDeque<>());
  }

  private Optional<Item<T>> poll(
      Map<String, Deque<Item<T>>> map, long nowMillis, List<Item<T>> expired) {
    while (!map.isEmpty()) {
      String team = map.keySet().iterator().next();
      Deque<Item<T>> items = requireNonNull(map.remove(team), "team without items");
      Item<T> item = items.removeFirst();
      if (!items.isEmpty()) {
        map.put(team, items); // behind the other teams
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
