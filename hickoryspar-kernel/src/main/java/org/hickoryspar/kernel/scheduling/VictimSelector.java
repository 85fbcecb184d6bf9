package org.hickoryspar.kernel.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/** Selects whole gangs whose preemption frees the resources of a placement at a low cost. */
final class VictimSelector {

  /**
   * The gangs to preempt.
   *
   * @param victims the gangs in the order of their selection; empty if the resources are free or
   *     become free anyway
   * @param cost the sum of the costs of the victims
   */
  record Selection(List<Gang> victims, double cost) {}

  /** Key of the quota deficit of the beneficiary's team; all other keys are worker numbers. */
  private static final int QUOTA_KEY = -1;

  private final ClusterState state;
  private final PreemptionPolicy policy;

  VictimSelector(ClusterState state, PreemptionPolicy policy) {
    this.state = state;
    this.policy = policy;
  }

  /**
   * Selects victims with two greedy passes, by cost and by cost per task, and returns the cheaper
   * selection.
   *
   * @param job the beneficiary
   * @param workers the worker of each task
   * @param eligible restricts the gangs that may be preempted
   * @param ended gangs that are treated as ended
   * @param nowMillis replicated time
   * @return the selection, or null if preemption cannot free the resources
   */
  @Nullable Selection select(
      JobRequest job, int[] workers, Predicate<Gang> eligible, Set<Gang> ended, long nowMillis) {
    Map<Integer, int[]> deficits = deficits(job, workers, ended);
    if (deficits.isEmpty()) {
      return new Selection(List.of(), 0);
    }
    Map<Gang, Double> costs = new LinkedHashMap<>();
    for (int key : deficits.keySet()) {
      for (Gang gang : key == QUOTA_KEY ? state.gangs().values() : state.gangsOn(key).keySet()) {
        boolean useful = key != QUOTA_KEY || gang.job().team().equals(job.team());
        if (useful
            && gang.isPreemptionCandidate()
            && !ended.contains(gang)
            && eligible.test(gang)) {
          costs.computeIfAbsent(gang, g -> policy.cost(g.toRunningGang(state.fleet()), nowMillis));
        }
      }
    }
    Comparator<Gang> byCost = Comparator.comparingDouble(g -> costs.getOrDefault(g, 0.0));
    Comparator<Gang> byCostPerTask =
        Comparator.comparingDouble(g -> costs.getOrDefault(g, 0.0) / g.workers().length);
    Selection cheapestFirst = selectGreedily(costs, byCost, deficits, job);
    Selection cheapestPerTaskFirst = selectGreedily(costs, byCostPerTask, deficits, job);
    if (cheapestFirst == null || cheapestPerTaskFirst == null) {
      return cheapestFirst == null ? cheapestPerTaskFirst : cheapestFirst;
    }
    return cheapestFirst.cost() <= cheapestPerTaskFirst.cost()
        ? cheapestFirst
        : cheapestPerTaskFirst;
  }

  private @Nullable Selection selectGreedily(
      Map<Gang, Double> costs,
      Comparator<Gang> order,
      Map<Integer, int[]> deficits,
      JobRequest job) {
    Map<Integer, int[]> remaining = copy(deficits);
    Set<Gang> selected = new LinkedHashSet<>();
    List<Gang> sorted = new ArrayList<>(costs.keySet());
    sorted.sort(order.thenComparing(gang -> gang.job().jobId()));
    for (Gang gang : sorted) {
      if (areCovered(remaining)) {
        break;
      }
      if (applyEnd(remaining, gang, job, 1)) {
        selected.add(gang);
      }
    }
    if (!areCovered(remaining)) {
      return null;
    }
    List<Gang> costliestFirst = new ArrayList<>(selected);
    costliestFirst.sort(
        Comparator.comparingDouble((Gang gang) -> costs.getOrDefault(gang, 0.0)).reversed());
    for (Gang gang : costliestFirst) {
      applyEnd(remaining, gang, job, -1);
      if (areCovered(remaining)) {
        selected.remove(gang);
      } else {
        applyEnd(remaining, gang, job, 1);
      }
    }
    double cost = selected.stream().mapToDouble(gang -> costs.getOrDefault(gang, 0.0)).sum();
    return new Selection(List.copyOf(selected), cost);
  }

  /** Returns the missing resources per worker, with stopping gangs treated as ended. */
  private Map<Integer, int[]> deficits(JobRequest job, int[] workers, Set<Gang> ended) {
    CapacityIndex free = state.fleet().free();
    Map<Integer, int[]> deficits = new LinkedHashMap<>();
    for (int worker : workers) {
      int[] deficit =
          deficits.computeIfAbsent(
              worker,
              w -> new int[] {-free.cores(w), -free.memoryMegabytes(w), -free.accelerators(w)});
      add(deficit, job.shape().perTask(), 1);
    }
    for (Map.Entry<Integer, int[]> entry : deficits.entrySet()) {
      state
          .gangsOn(entry.getKey())
          .forEach(
              (gang, tasks) -> {
                if (gang.isStopping() || ended.contains(gang)) {
                  add(entry.getValue(), gang.perTask(), -tasks);
                }
              });
    }
    int[] quota = quotaDeficit(job, workers.length);
    if (isPositive(quota)) {
      deficits.put(QUOTA_KEY, quota);
    }
    deficits.values().removeIf(deficit -> !isPositive(deficit));
    return deficits;
  }

  private int[] quotaDeficit(JobRequest job, int taskCount) {
    TeamState team = state.team(job.team());
    TeamPolicy teamPolicy = team.policy();
    int[] deficit = new int[3];
    if (teamPolicy != null) {
      add(deficit, team.held(), 1);
      add(deficit, teamPolicy.quota(), -1);
      add(deficit, job.shape().perTask(), taskCount);
    }
    if (isPositive(deficit)) {
      for (Gang gang : state.gangs().values()) {
        if (gang.isStopping() && gang.job().team().equals(job.team())) {
          add(deficit, gang.perTask(), -gang.workers().length);
        }
      }
    }
    return deficit;
  }

  /**
   * Subtracts the resources of a gang from the deficits if that reduces one, or adds them if the
   * sign is negative; returns whether a deficit was reduced.
   */
  private boolean applyEnd(Map<Integer, int[]> deficits, Gang gang, JobRequest job, int sign) {
    boolean useful = false;
    Map<Integer, Integer> tasksOn = new HashMap<>();
    for (int worker : gang.workers()) {
      tasksOn.merge(worker, 1, Integer::sum);
    }
    if (gang.job().team().equals(job.team())) {
      tasksOn.put(QUOTA_KEY, gang.workers().length);
    }
    for (Map.Entry<Integer, Integer> entry : tasksOn.entrySet()) {
      int[] deficit = deficits.get(entry.getKey());
      if (deficit != null) {
        useful |= reducesDeficit(deficit, gang.perTask());
        add(deficit, gang.perTask(), -sign * entry.getValue());
      }
    }
    if (!useful && sign > 0) {
      applyEnd(deficits, gang, job, -1);
    }
    return useful;
  }

  private static boolean reducesDeficit(int[] deficit, ResourceVector perTask) {
    return (deficit[0] > 0 && perTask.cores() > 0)
        || (deficit[1] > 0 && perTask.memoryMegabytes() > 0)
        || (deficit[2] > 0 && perTask.accelerators() > 0);
  }

  private static void add(int[] amounts, ResourceVector perTask, int tasks) {
    amounts[0] += perTask.cores() * tasks;
    amounts[1] += perTask.memoryMegabytes() * tasks;
    amounts[2] += perTask.accelerators() * tasks;
  }

  private static boolean isPositive(int[] deficit) {
    return Arrays.stream(deficit).anyMatch(amount -> amount > 0);
  }

  private static boolean areCovered(Map<Integer, int[]> deficits) {
    return deficits.values().stream().noneMatch(VictimSelector::isPositive);
  }

  private static Map<Integer, int[]> copy(Map<Integer, int[]> deficits) {
    Map<Integer, int[]> copies = new LinkedHashMap<>();
    deficits.forEach((key, deficit) -> copies.put(key, deficit.clone()));
    return copies;
  }
}
