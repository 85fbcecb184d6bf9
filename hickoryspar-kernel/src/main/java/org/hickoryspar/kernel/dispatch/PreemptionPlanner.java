package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.hickoryspar.kernel.value.Resources;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.hickoryspar.protocol.Queue;
import org.jspecify.annotations.Nullable;

/**
 * Selects the runs to preempt for a more urgent group. A run is stopped as a whole, so a victim
 * releases its resources on all its minions.
 */
final class PreemptionPlanner {

  /** The priority whose work may preempt work of lower priorities. */
  private static final int PREEMPTING_PRIORITY = 0;

  /** A run whose group was interrupted this often is preempted for guaranteed work only. */
  private static final int MAX_INTERRUPTIONS = 2;

  private final PreemptionCost cost;

  PreemptionPlanner(PreemptionCost cost) {
    this.cost = cost;
  }

  /** Returns the cost of preempting a run. */
  double costOf(ActiveRun run, long nowMillis) {
    return cost.of(run, nowMillis);
  }

  static boolean mayPreempt(Queue queue) {
    return queue.getPriority() == PREEMPTING_PRIORITY;
  }

  /** Returns whether a run may be preempted for work that may preempt. */
  static boolean isPreemptible(ActiveRun run) {
    return run.workflow().queue().getPriority() > PREEMPTING_PRIORITY
        && !run.step().getLongRunning();
  }

  /** Returns whether a run is stopped for guaranteed work only: its group was interrupted often. */
  static boolean isSpared(ActiveRun run) {
    return run.interruptions() >= MAX_INTERRUPTIONS;
  }

  /** Returns whether a run is smaller than a group, of no higher priority, and preemptible. */
  static boolean isPreemptibleForLarger(ActiveRun run, WaitingStep waitingStep, TaskGroup group) {
    return isPreemptible(run)
        && run.workflow().queue().getPriority() >= waitingStep.queue().getPriority()
        && run.members().size() < group.size();
  }

  /**
   * Returns the cheapest plan over all candidate sets, or null if preemption cannot release enough
   * resources.
   *
   * @param mayStop whether a run may be a victim
   */
  @Nullable Plan plan(
      Resources demand,
      int size,
      Collection<List<Minion>> candidateSets,
      MinionTaskLimit taskLimit,
      Predicate<ActiveRun> mayStop,
      long nowMillis) {
    Plan best = null;
    for (List<Minion> candidates : candidateSets) {
      Search search = new Search(demand, size, candidates, taskLimit, mayStop, nowMillis);
      Plan plan = search.plan(best == null ? Double.MAX_VALUE : best.cost);
      if (plan != null) {
        best = plan;
      }
    }
    return best;
  }

  /** A greedy search for victims on one set of minions. */
  private final class Search {

    private final Resources demand;
    private final int size;
    private final List<Minion> minions;
    private final MinionTaskLimit taskLimit;
    private final Predicate<ActiveRun> mayStop;
    private final long nowMillis;
    private final Map<Minion, Resources> freeByMinion = new HashMap<>();
    private final Set<ActiveRun> victims = new LinkedHashSet<>();
    private double totalCost;

    Search(
        Resources demand,
        int size,
        List<Minion> minions,
        MinionTaskLimit taskLimit,
        Predicate<ActiveRun> mayStop,
        long nowMillis) {
      this.demand = demand;
      this.size = size;
      this.minions = minions;
      this.taskLimit = taskLimit;
      this.mayStop = mayStop;
      this.nowMillis = nowMillis;
      minions.forEach(minion -> freeByMinion.put(minion, minion.free()));
    }

    /**
     * Adds the cheapest set of victims that makes another task fit, until all tasks fit; returns
     * null if they cannot fit or the cost reaches the limit.
     */
    @Nullable Plan plan(double costLimit) {
      while (countFittingTasks() < size) {
        VictimSet cheapest = cheapestVictimSet();
        if (cheapest == null) {
          return null;
        }
        cheapest.runs.forEach(this::addVictim);
        if (totalCost >= costLimit) {
          return null;
        }
      }
      removeRedundantVictims();
      return new Plan(
          PlacementFinder.assignTasks(demand, size, minions, this::freeOf, taskLimit),
          List.copyOf(victims),
          totalCost);
    }

    private int countFittingTasks() {
      int count = 0;
      for (Minion minion : minions) {
        count += countFittingTasksOn(minion, freeOf(minion));
      }
      return count;
    }

    private int countFittingTasksOn(Minion minion, Resources free) {
      return Math.min(free.countFitting(demand, size), taskLimit.remaining(minion));
    }

    private Resources freeOf(Minion minion) {
      return freeByMinion.getOrDefault(minion, Resources.NONE);
    }

    private @Nullable VictimSet cheapestVictimSet() {
      VictimSet best = null;
      for (Minion minion : minions) {
        VictimSet victimSet = victimsForOneMoreTask(minion);
        if (victimSet != null && (best == null || victimSet.cost < best.cost)) {
          best = victimSet;
        }
      }
      return best;
    }

    // Returns the cheapest runs of a minion whose end makes at least one more task fit, or null.
    private @Nullable VictimSet victimsForOneMoreTask(Minion minion) {
      Resources freeAfter = freeOf(minion);
      int fittingBefore = countFittingTasksOn(minion, freeAfter);
      List<ActiveRun> chosen = new ArrayList<>();
      double chosenCost = 0;
      for (ActiveRun run : preemptibleRunsOn(minion)) {
        chosen.add(run);
        chosenCost += costOf(run);
        freeAfter = freeAfter.plus(resourcesOf(run, minion));
        if (countFittingTasksOn(minion, freeAfter) > fittingBefore) {
          return new VictimSet(chosen, chosenCost);
        }
      }
      return null;
    }

    private List<ActiveRun> preemptibleRunsOn(Minion minion) {
      Set<ActiveRun> runs = new LinkedHashSet<>();
      for (Member member : minion.members()) {
        ActiveRun run = member.run();
        if (mayStop.test(run) && !victims.contains(run)) {
          runs.add(run);
        }
      }
      List<ActiveRun> cheapestFirst = new ArrayList<>(runs);
      cheapestFirst.sort(Comparator.comparingDouble(this::costOf));
      return cheapestFirst;
    }

    private double costOf(ActiveRun run) {
      return cost.of(run, nowMillis);
    }

    private Resources resourcesOf(ActiveRun run, Minion minion) {
      Resources resources = Resources.NONE;
      for (Member member : run.members()) {
        if (member.minion() == minion && !member.isEnded()) {
          resources = resources.plus(member.demand());
        }
      }
      return resources;
    }

    private void addVictim(ActiveRun run) {
      victims.add(run);
      totalCost += costOf(run);
      updateFree(run, true);
    }

    private void updateFree(ActiveRun run, boolean released) {
      for (Member member : run.members()) {
        if (!member.isEnded()) {
          Resources demand = member.demand();
          freeByMinion.computeIfPresent(
              member.minion(),
              (minion, before) -> released ? before.plus(demand) : before.minus(demand));
        }
      }
    }

    // Later victims may release enough for an earlier one to continue. The most expensive ones are
    // tried first.
    private void removeRedundantVictims() {
      List<ActiveRun> mostExpensiveFirst = new ArrayList<>(victims);
      mostExpensiveFirst.sort(Comparator.comparingDouble(this::costOf).reversed());
      for (ActiveRun run : mostExpensiveFirst) {
        updateFree(run, false);
        if (countFittingTasks() >= size) {
          victims.remove(run);
          totalCost -= costOf(run);
        } else {
          updateFree(run, true);
        }
      }
    }
  }

  private record VictimSet(List<ActiveRun> runs, double cost) {}

  /**
   * The victims of a preemption and the resulting placement.
   *
   * @param minions the minion of each task
   * @param victims the runs to preempt
   * @param cost total cost of the preemption in core-milliseconds
   */
  record Plan(List<Minion> minions, List<ActiveRun> victims, double cost) {

    /** Returns the same placement with additional victims. */
    Plan withVictims(Collection<ActiveRun> additional) {
      Set<ActiveRun> all = new LinkedHashSet<>(victims);
      all.addAll(additional);
      return new Plan(minions, List.copyOf(all), cost);
    }
  }
}
