package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Chooses which runs to stop so that a more urgent group has room. A run is stopped as a whole, so
 * a victim frees room on all its minions.
 */
final class Reclaim {

  /** The priority whose work may preempt the others. */
  private static final int PREEMPTING_PRIORITY = 0;

  private final VictimCost cost;

  Reclaim(VictimCost cost) {
    this.cost = cost;
  }

  static boolean mayPreempt(WaitingStep waiting) {
    return waiting.queue().getPriority() == PREEMPTING_PRIORITY;
  }

  /** Returns the minions of a group and the victims, or null when stopping others does not help. */
  @Nullable Plan plan(
      WaitingStep waiting, int size, List<Minion> minions, StepLoad load, long nowMillis) {
    Plan best = null;
    for (List<Minion> candidates : candidateSets(waiting, size, minions, load)) {
      Plan plan = planOn(waiting, size, candidates, load, nowMillis);
      if (plan != null && (best == null || plan.cost < best.cost)) {
        best = plan;
      }
    }
    return best;
  }

  private static Collection<List<Minion>> candidateSets(
      WaitingStep waiting, int size, List<Minion> minions, StepLoad load) {
    Map<String, List<Minion>> racks = Places.byRack(minions);
    boolean oneRack = size == 1 || !Places.mayCrossRacks(waiting, size, minions, load);
    return oneRack ? racks.values() : List.of(minions);
  }

  private @Nullable Plan planOn(
      WaitingStep waiting, int size, List<Minion> minions, StepLoad load, long nowMillis) {
    Room demand = waiting.demand();
    List<ActiveRun> stoppable = stoppable(minions);
    Set<ActiveRun> victims = new LinkedHashSet<>(stoppable);
    if (count(demand, minions, victims, load, size) < size) {
      return null;
    }
    // The dearest are spared first, as long as the others free enough.
    stoppable.sort(
        Comparator.comparingDouble((ActiveRun run) -> cost.of(run, nowMillis)).reversed());
    for (ActiveRun run : stoppable) {
      victims.remove(run);
      if (count(demand, minions, victims, load, size) < size) {
        victims.add(run);
      }
    }
    double total = victims.stream().mapToDouble(run -> cost.of(run, nowMillis)).sum();
    return new Plan(
        Places.fill(demand, size, minions, minion -> freeWithout(minion, victims), load),
        List.copyOf(victims),
        total);
  }

  private static List<ActiveRun> stoppable(List<Minion> minions) {
    Set<ActiveRun> runs = new HashSet<>();
    for (Minion minion : minions) {
      for (Member member : minion.members()) {
        ActiveRun run = member.run();
        if (run.workflow().queue().getPriority() > PREEMPTING_PRIORITY
            && !run.step().getLongRunning()) {
          runs.add(run);
        }
      }
    }
    return new ArrayList<>(runs);
  }

  private static int count(
      Room demand, List<Minion> minions, Set<ActiveRun> victims, StepLoad load, int limit) {
    return Places.count(demand, minions, minion -> freeWithout(minion, victims), load, limit);
  }

  private static Room freeWithout(Minion minion, Set<ActiveRun> victims) {
    Room free = minion.free();
    for (Member member : minion.members()) {
      if (victims.contains(member.run())) {
        free = free.plus(member.demand());
      }
    }
    return free;
  }

  /**
   * What to stop and where to start.
   *
   * @param minions the minion of each task
   * @param victims the runs to stop
   * @param cost what is lost by it
   */
  record Plan(List<Minion> minions, List<ActiveRun> victims, double cost) {}
}
