package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/** Finds minions with room for the tasks of a step. */
final class PlacementFinder {

  private PlacementFinder() {}

  /** Returns the minion on which a task leaves the least room idle, or null when none has room. */
  static @Nullable Minion tightest(
      WaitingStep waiting,
      List<Minion> minions,
      Function<Minion, Room> freeOf,
      MinionTaskLimit load) {
    Room demand = waiting.demand();
    String dataRack = waiting.step().getDataRack();
    Minion best = null;
    long bestCost = Long.MAX_VALUE;
    for (Minion minion : minions) {
      if (!minion.free().holds(demand)) {
        continue;
      }
      Room free = freeOf.apply(minion);
      if (free.holds(demand) && load.allows(minion, 1)) {
        boolean far = !dataRack.isEmpty() && !dataRack.equals(minion.rack());
        long cost = idleAfter(minion, free, demand) + (far ? Integer.MAX_VALUE : 0);
        if (cost < bestCost) {
          bestCost = cost;
          best = minion;
        }
      }
    }
    return best;
  }

  /** Returns minions for all tasks of a gang, or null when they do not fit now. */
  static @Nullable List<Minion> gang(
      WaitingStep waiting,
      int size,
      List<Minion> minions,
      Function<Minion, Room> freeOf,
      MinionTaskLimit load) {
    Room demand = waiting.demand();
    String dataRack = waiting.step().getDataRack();
    Map<String, List<Minion>> racks = byRack(minions);
    List<Minion> best = null;
    int bestSlack = Integer.MAX_VALUE;
    for (Map.Entry<String, List<Minion>> rack : racks.entrySet()) {
      int fits = count(demand, rack.getValue(), freeOf, load, Integer.MAX_VALUE);
      if (fits >= size) {
        boolean near = dataRack.isEmpty() || dataRack.equals(rack.getKey());
        int slack = near ? fits - size : Integer.MAX_VALUE / 2 + fits - size;
        if (slack < bestSlack) {
          bestSlack = slack;
          best = rack.getValue();
        }
      }
    }
    if (best == null && mayCrossRacks(waiting, size, minions, load)) {
      best = count(demand, minions, freeOf, load, size) >= size ? minions : null;
    }
    return best == null ? null : fill(demand, size, best, freeOf, load);
  }

  // A gang that is larger than every rack is slower across racks than it could be, but it runs.
  static boolean mayCrossRacks(
      WaitingStep waiting, int size, List<Minion> minions, MinionTaskLimit load) {
    return !waiting.step().getSameRack()
        || byRack(minions).values().stream()
            .noneMatch(rack -> count(waiting.demand(), rack, Minion::capacity, load, size) >= size);
  }

  /** Returns the sets of minions of which one must hold all tasks of a group. */
  static Collection<List<Minion>> candidateSets(
      WaitingStep waiting, int size, List<Minion> minions, MinionTaskLimit load) {
    boolean oneRack = size == 1 || !mayCrossRacks(waiting, size, minions, load);
    return oneRack ? byRack(minions).values() : List.of(minions);
  }

  static Map<String, List<Minion>> byRack(List<Minion> minions) {
    Map<String, List<Minion>> racks = new LinkedHashMap<>();
    for (Minion minion : minions) {
      racks.computeIfAbsent(minion.rack(), rack -> new ArrayList<>()).add(minion);
    }
    return racks;
  }

  static int count(
      Room demand,
      List<Minion> minions,
      Function<Minion, Room> freeOf,
      MinionTaskLimit load,
      int limit) {
    int count = 0;
    for (Minion minion : minions) {
      count += Math.min(freeOf.apply(minion).count(demand, limit), load.left(minion));
      if (count >= limit) {
        return limit;
      }
    }
    return count;
  }

  static List<Minion> fill(
      Room demand,
      int size,
      List<Minion> minions,
      Function<Minion, Room> freeOf,
      MinionTaskLimit load) {
    List<Minion> fullestFirst = new ArrayList<>(minions);
    fullestFirst.sort(
        Comparator.comparingLong((Minion m) -> idleAfter(m, freeOf.apply(m), demand)));
    List<Minion> chosen = new ArrayList<>(size);
    for (Minion minion : fullestFirst) {
      int fits = Math.min(freeOf.apply(minion).count(demand, size), load.left(minion));
      for (int i = 0; i < fits && chosen.size() < size; i++) {
        chosen.add(minion);
      }
    }
    return chosen;
  }

  /** Returns how much of a minion stays idle, in thousandths of its capacity. */
  private static long idleAfter(Minion minion, Room free, Room demand) {
    Room left = free.minus(demand);
    Room all = minion.capacity();
    return share(left.accelerators(), all.accelerators()) * 2
        + share(left.memoryMegabytes(), all.memoryMegabytes())
        + share(left.cpuMillicores(), all.cpuMillicores());
  }

  private static long share(long part, long whole) {
    return whole == 0 ? 0 : part * 1_000 / whole;
  }
}
