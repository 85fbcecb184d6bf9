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

/** Chooses the cheapest whole gangs whose end makes room for a job. */
final class VictimSelector {

  /**
   * The gangs to preempt and what that costs.
   *
   * @param victims the gangs, cheapest first
   * @param cost the sum of their prices
   */
  record Selection(List<Gang> victims, double cost) {}

  /** Key of the deficit in the beneficiary's quota among the deficits per worker. */
  private static final int QUOTA = -1;

  private final ClusterState state;
  private final PreemptionPolicy policy;

  VictimSelector(ClusterState state, PreemptionPolicy policy) {
    this.state = state;
    this.policy = policy;
  }

  /**
   * Chooses victims.
   *
   * @param job the beneficiary
   * @param workers where room is needed, per task
   * @param eligible which of the gangs that may be preempted are considered
   * @param gone gangs that count as ended already
   * @return the selection, empty of victims if there is room anyway, or null if it cannot be made
   */
  @Nullable Selection select(
      JobRequest job, int[] workers, Predicate<Gang> eligible, Set<Gang> gone, long nowMillis) {
    Map<Integer, int[]> deficits = deficits(job, workers, gone);
    if (deficits.isEmpty()) {
      return new Selection(List.of(), 0);
    }
    Map<Gang, Double> prices = new LinkedHashMap<>();
    for (int key : deficits.keySet()) {
      for (Gang gang : key == QUOTA ? state.gangs().values() : state.gangsOn(key).keySet()) {
        boolean useful = key != QUOTA || gang.job().team().equals(job.team());
        if (useful && gang.isVictim() && !gone.contains(gang) && eligible.test(gang)) {
          prices.computeIfAbsent(gang, g -> policy.cost(g.asRunning(state.fleet()), nowMillis));
        }
      }
    }
    Comparator<Gang> byPrice = Comparator.comparingDouble(g -> prices.getOrDefault(g, 0.0));
    Comparator<Gang> byWorth =
        Comparator.comparingDouble(g -> prices.getOrDefault(g, 0.0) / g.workers().length);
    Selection cheap = greedy(prices, byPrice, deficits, job);
    Selection worth = greedy(prices, byWorth, deficits, job);
    if (cheap == null || worth == null) {
      return cheap == null ? worth : cheap;
    }
    return cheap.cost() <= worth.cost() ? cheap : worth;
  }

  private @Nullable Selection greedy(
      Map<Gang, Double> prices,
      Comparator<Gang> order,
      Map<Integer, int[]> deficits,
      JobRequest job) {
    Map<Integer, int[]> open = copy(deficits);
    Set<Gang> chosen = new LinkedHashSet<>();
    List<Gang> sorted = new ArrayList<>(prices.keySet());
    sorted.sort(order.thenComparing(gang -> gang.job().jobId()));
    for (Gang gang : sorted) {
      if (isMet(open)) {
        break;
      }
      if (reduce(open, gang, job, 1)) {
        chosen.add(gang);
      }
    }
    if (!isMet(open)) {
      return null;
    }
    List<Gang> dearestFirst = new ArrayList<>(chosen);
    dearestFirst.sort(
        Comparator.comparingDouble((Gang gang) -> prices.getOrDefault(gang, 0.0)).reversed());
    for (Gang gang : dearestFirst) {
      reduce(open, gang, job, -1);
      if (isMet(open)) {
        chosen.remove(gang);
      } else {
        reduce(open, gang, job, 1);
      }
    }
    double cost = chosen.stream().mapToDouble(gang -> prices.getOrDefault(gang, 0.0)).sum();
    return new Selection(List.copyOf(chosen), cost);
  }

  /** Returns what is lacking per worker, once gangs that are being stopped have ended. */
  private Map<Integer, int[]> deficits(JobRequest job, int[] workers, Set<Gang> gone) {
    CapacityIndex free = state.fleet().free();
    Map<Integer, int[]> deficits = new LinkedHashMap<>();
    for (int worker : workers) {
      int[] lacking =
          deficits.computeIfAbsent(
              worker,
              w -> new int[] {-free.cores(w), -free.memoryMegabytes(w), -free.accelerators(w)});
      add(lacking, job.shape().perTask(), 1);
    }
    for (Map.Entry<Integer, int[]> entry : deficits.entrySet()) {
      state
          .gangsOn(entry.getKey())
          .forEach(
              (gang, tasks) -> {
                if (gang.isStopping() || gone.contains(gang)) {
                  add(entry.getValue(), gang.perTask(), -tasks);
                }
              });
    }
    int[] quota = quotaDeficit(job, workers.length);
    if (isPositive(quota)) {
      deficits.put(QUOTA, quota);
    }
    deficits.values().removeIf(lacking -> !isPositive(lacking));
    return deficits;
  }

  private int[] quotaDeficit(JobRequest job, int tasks) {
    TeamState team = state.team(job.team());
    TeamPolicy teamPolicy = team.policy();
    int[] lacking = new int[3];
    if (teamPolicy != null) {
      add(lacking, team.held(), 1);
      add(lacking, teamPolicy.quota(), -1);
      add(lacking, job.shape().perTask(), tasks);
    }
    if (isPositive(lacking)) {
      for (Gang gang : state.gangs().values()) {
        if (gang.isStopping() && gang.job().team().equals(job.team())) {
          add(lacking, gang.perTask(), -gang.workers().length);
        }
      }
    }
    return lacking;
  }

  /** Applies the end of a gang to the deficits; returns whether that reduced a positive one. */
  private boolean reduce(Map<Integer, int[]> deficits, Gang gang, JobRequest job, int sign) {
    boolean useful = false;
    Map<Integer, Integer> tasksOn = new HashMap<>();
    for (int worker : gang.workers()) {
      tasksOn.merge(worker, 1, Integer::sum);
    }
    if (gang.job().team().equals(job.team())) {
      tasksOn.put(QUOTA, gang.workers().length);
    }
    for (Map.Entry<Integer, Integer> entry : tasksOn.entrySet()) {
      int[] lacking = deficits.get(entry.getKey());
      if (lacking != null) {
        useful |= helps(lacking, gang.perTask());
        add(lacking, gang.perTask(), -sign * entry.getValue());
      }
    }
    if (!useful && sign > 0) {
      reduce(deficits, gang, job, -1);
    }
    return useful;
  }

  private static boolean helps(int[] lacking, ResourceVector perTask) {
    return (lacking[0] > 0 && perTask.cores() > 0)
        || (lacking[1] > 0 && perTask.memoryMegabytes() > 0)
        || (lacking[2] > 0 && perTask.accelerators() > 0);
  }

  private static void add(int[] amounts, ResourceVector perTask, int tasks) {
    amounts[0] += perTask.cores() * tasks;
    amounts[1] += perTask.memoryMegabytes() * tasks;
    amounts[2] += perTask.accelerators() * tasks;
  }

  private static boolean isPositive(int[] lacking) {
    return Arrays.stream(lacking).anyMatch(amount -> amount > 0);
  }

  private static boolean isMet(Map<Integer, int[]> deficits) {
    return deficits.values().stream().noneMatch(VictimSelector::isPositive);
  }

  private static Map<Integer, int[]> copy(Map<Integer, int[]> deficits) {
    Map<Integer, int[]> copies = new LinkedHashMap<>();
    deficits.forEach((key, lacking) -> copies.put(key, lacking.clone()));
    return copies;
  }
}
