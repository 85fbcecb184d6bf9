package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.hickoryspar.kernel.value.Resources;
import org.jspecify.annotations.Nullable;

/** Finds minions with enough free resources for the tasks of a group. */
final class PlacementFinder {

  private PlacementFinder() {}

  /**
   * Returns the minion on which a task leaves the least resources idle, or null if it fits on none.
   * A minion outside the data rack of the step is used only if no minion in that rack fits.
   */
  static @Nullable Minion bestFit(
      WaitingStep waitingStep,
      List<Minion> minions,
      Function<Minion, Resources> freeOf,
      MinionTaskLimit taskLimit) {
    Resources demand = waitingStep.demand();
    String dataRack = waitingStep.step().getDataRack();
    Minion best = null;
    long bestCost = Long.MAX_VALUE;
    for (Minion minion : minions) {
      if (!minion.free().canFit(demand)) {
        continue;
      }
      Resources free = freeOf.apply(minion);
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

  /**
   * Returns a minion for each task of a gang, or null if the gang does not fit now. Prefers the
   * data rack of the step, then the rack that could run the fewest further tasks.
   */
  static @Nullable List<Minion> bestFitGang(
      WaitingStep waitingStep,
      int size,
      List<Minion> minions,
      Function<Minion, Resources> freeOf,
      MinionTaskLimit taskLimit) {
    Resources demand = waitingStep.demand();
    String dataRack = waitingStep.step().getDataRack();
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
    if (best == null && mayCrossRacks(waitingStep, size, minions, taskLimit)) {
      best = countFittingTasks(demand, minions, freeOf, taskLimit, size) >= size ? minions : null;
    }
    return best == null ? null : assignTasks(demand, size, best, freeOf, taskLimit);
  }

  // A gang that exceeds the capacity of every rack would never start within one rack. Across racks
  // it runs more slowly, but it runs.
  static boolean mayCrossRacks(
      WaitingStep waitingStep, int size, List<Minion> minions, MinionTaskLimit taskLimit) {
    return !waitingStep.step().getSameRack()
        || byRack(minions).values().stream()
            .noneMatch(
                rack ->
                    countFittingTasks(waitingStep.demand(), rack, Minion::capacity, taskLimit, size)
                        >= size);
  }

  /** Returns the sets of minions to choose from; all tasks of a group must run within one set. */
  static Collection<List<Minion>> candidateSets(
      WaitingStep waitingStep, int size, List<Minion> minions, MinionTaskLimit taskLimit) {
    boolean oneRack = size == 1 || !mayCrossRacks(waitingStep, size, minions, taskLimit);
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
      Resources demand,
      List<Minion> minions,
      Function<Minion, Resources> freeOf,
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

  /**
   * Returns a minion for each task, the fullest minions first; fewer than {@code size} if the tasks
   * do not fit.
   */
  static List<Minion> assignTasks(
      Resources demand,
      int size,
      List<Minion> minions,
      Function<Minion, Resources> freeOf,
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

  /**
   * Returns how much of a minion stays idle after a task is placed on it: the sum over the
   * resources in thousandths of its capacity, where accelerators count twice.
   */
  private static long idlePermilleAfter(Minion minion, Resources free, Resources demand) {
    Resources remaining = free.minus(demand);
    Resources capacity = minion.capacity();
    return permille(remaining.accelerators(), capacity.accelerators()) * 2
        + permille(remaining.memoryMegabytes(), capacity.memoryMegabytes())
        + permille(remaining.cpuMillicores(), capacity.cpuMillicores());
  }

  private static long permille(long part, long whole) {
    return whole == 0 ? 0 : part * 1_000 / whole;
  }
}
