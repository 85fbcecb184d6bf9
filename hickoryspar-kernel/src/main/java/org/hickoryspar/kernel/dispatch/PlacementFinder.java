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
  static @Nullable Minion bestFit(
      WaitingStep waiting,
      List<Minion> minions,
      Function<Minion, Room> freeOf,
      MinionTaskLimit taskLimit) {
    Room demand = waiting.demand();
    String dataRack = waiting.step().getDataRack();
    Minion best = null;
    long bestCost = Long.MAX_VALUE;
    for (Minion minion : minions) {
      if (!minion.free().canFit(demand)) {
        continue;
      }
      Room free = freeOf.apply(minion);
      if (free.canFit(demand) && taskLimit.allows(minion, 1)) {
        boolean outsideDataRack = !dataRack.isEmpty() && !dataRack.equals(minion.rack());
        long cost =
            idlePermilleAfter(minion, free, demand) + (outsideDataRack ? Integer.MAX_VALUE : 0);
        if (cost < bestCost) {
          bestCost = cost;
          best = minion;
        }
      }
    }
    return best;
  }

  /** Returns minions for all tasks of a gang, or null when they do not fit now. */
  static @Nullable List<Minion> bestFitGang(
      WaitingStep waiting,
      int size,
      List<Minion> minions,
      Function<Minion, Room> freeOf,
      MinionTaskLimit taskLimit) {
    Room demand = waiting.demand();
    String dataRack = waiting.step().getDataRack();
    Map<String, List<Minion>> racks = byRack(minions);
    List<Minion> best = null;
    int bestSlack = Integer.MAX_VALUE;
    for (Map.Entry<String, List<Minion>> rack : racks.entrySet()) {
      int fittingTasks =
          countFittingTasks(demand, rack.getValue(), freeOf, taskLimit, Integer.MAX_VALUE);
      if (fittingTasks >= size) {
        boolean inDataRack = dataRack.isEmpty() || dataRack.equals(rack.getKey());
        int slack = inDataRack ? fittingTasks - size : Integer.MAX_VALUE / 2 + fittingTasks - size;
        if (slack < bestSlack) {
          bestSlack = slack;
          best = rack.getValue();
        }
      }
    }
    if (best == null && mayCrossRacks(waiting, size, minions, taskLimit)) {
      best = countFittingTasks(demand, minions, freeOf, taskLimit, size) >= size ? minions : null;
    }
    return best == null ? null : fill(demand, size, best, freeOf, taskLimit);
  }

  // A gang that is larger than every rack is slower across racks than it could be, but it runs.
  static boolean mayCrossRacks(
      WaitingStep waiting, int size, List<Minion> minions, MinionTaskLimit taskLimit) {
    return !waiting.step().getSameRack()
        || byRack(minions).values().stream()
            .noneMatch(
                rack ->
                    countFittingTasks(waiting.demand(), rack, Minion::capacity, taskLimit, size)
                        >= size);
  }

  /** Returns the sets of minions of which one must hold all tasks of a group. */
  static Collection<List<Minion>> candidateSets(
      WaitingStep waiting, int size, List<Minion> minions, MinionTaskLimit taskLimit) {
    boolean oneRack = size == 1 || !mayCrossRacks(waiting, size, minions, taskLimit);
    return oneRack ? byRack(minions).values() : List.of(minions);
  }

  static Map<String, List<Minion>> byRack(List<Minion> minions) {
    Map<String, List<Minion>> racks = new LinkedHashMap<>();
    for (Minion minion : minions) {
      racks.computeIfAbsent(minion.rack(), rack -> new ArrayList<>()).add(minion);
    }
    return racks;
  }

  static int countFittingTasks(
      Room demand,
      List<Minion> minions,
      Function<Minion, Room> freeOf,
      MinionTaskLimit taskLimit,
      int limit) {
    int count = 0;
    for (Minion minion : minions) {
      count +=
          Math.min(freeOf.apply(minion).countFitting(demand, limit), taskLimit.remaining(minion));
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
      MinionTaskLimit taskLimit) {
    List<Minion> fullestFirst = new ArrayList<>(minions);
    fullestFirst.sort(
        Comparator.comparingLong((Minion m) -> idlePermilleAfter(m, freeOf.apply(m), demand)));
    List<Minion> chosen = new ArrayList<>(size);
    for (Minion minion : fullestFirst) {
      int fittingTasks =
          Math.min(freeOf.apply(minion).countFitting(demand, size), taskLimit.remaining(minion));
      for (int i = 0; i < fittingTasks && chosen.size() < size; i++) {
        chosen.add(minion);
      }
    }
    return chosen;
  }

  /** Returns how much of a minion stays idle, in thousandths of its capacity. */
  private static long idlePermilleAfter(Minion minion, Room free, Room demand) {
    Room remaining = free.minus(demand);
    Room capacity = minion.capacity();
    return permille(remaining.accelerators(), capacity.accelerators()) * 2
        + permille(remaining.memoryMegabytes(), capacity.memoryMegabytes())
        + permille(remaining.cpuMillicores(), capacity.cpuMillicores());
  }

  private static long permille(long part, long whole) {
    return whole == 0 ? 0 : part * 1_000 / whole;
  }
}
