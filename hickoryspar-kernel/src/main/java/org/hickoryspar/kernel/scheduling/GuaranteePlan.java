package org.hickoryspar.kernel.scheduling;

import com.google.common.collect.LinkedHashMultimap;
import com.google.common.collect.SetMultimap;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Assigns disjoint resources to the guaranteed shapes of all teams, excluding the resources that
 * non-preemptible work holds.
 *
 * <p>As long as every shape is assigned to workers with enough uncommitted capacity, all of them
 * can be formed at the same time. The plan is conservative: the search is not exhaustive, so a
 * shape without an assignment may still be formable.
 */
final class GuaranteePlan {

  /**
   * Orders shapes with the fewest possible placements first; gangs without adjacency are planned
   * last, as they fit into fragments.
   */
  private static final Comparator<GuaranteeState> HARDEST_FIRST =
      Comparator.<GuaranteeState>comparingInt(
              guarantee ->
                  guarantee.shape().adjacency() == Adjacency.NONE && guarantee.shape().tasks() > 1
                      ? 1
                      : 0)
          .thenComparingInt(guarantee -> -guarantee.totalAccelerators())
          .thenComparingInt(guarantee -> guarantee.shape().adjacency() == Adjacency.RACK ? 1 : 0)
          .thenComparingInt(guarantee -> -guarantee.shape().perTask().accelerators())
          .thenComparingInt(
              guarantee -> -guarantee.shape().perTask().cores() * guarantee.shape().tasks())
          .thenComparing(GuaranteeState::team);

  private final Fleet fleet;
  private final PlacementSearch search;
  private final List<GuaranteeState> guarantees = new ArrayList<>();
  private final Map<String, List<GuaranteeState>> guaranteesByTeam = new HashMap<>();
  private final SetMultimap<Integer, GuaranteeState> guaranteesByWorker =
      LinkedHashMultimap.create();

  GuaranteePlan(Fleet fleet) {
    this.fleet = fleet;
    this.search = new PlacementSearch(fleet);
  }

  /** Replaces the guaranteed shapes; none of the new ones is assigned. */
  void define(List<TeamPolicy> teams) {
    guarantees.forEach(this::unassign);
    guarantees.clear();
    guaranteesByTeam.clear();
    for (TeamPolicy team : teams) {
      for (GangShape shape : team.guarantees()) {
        GuaranteeState guarantee = new GuaranteeState(team.team(), shape);
        guarantees.add(guarantee);
        guaranteesByTeam.computeIfAbsent(team.team(), t -> new ArrayList<>()).add(guarantee);
      }
    }
  }

  List<GuaranteeState> guarantees() {
    return guarantees;
  }

  List<GuaranteeState> guaranteesOf(String team) {
    return guaranteesByTeam.getOrDefault(team, List.of());
  }

  /** Returns the idle guarantees that are not assigned to workers. */
  List<GuaranteeState> unassigned() {
    return guarantees.stream()
        .filter(guarantee -> guarantee.isIdle() && guarantee.plannedWorkers() == null)
        .toList();
  }

  List<GuaranteeState> guaranteesOn(int worker) {
    return List.copyOf(guaranteesByWorker.get(worker));
  }

  void assign(GuaranteeState guarantee, int[] workers) {
    unassign(guarantee);
    for (int from = 0; from < workers.length; ) {
      int to = endOfSameWorker(workers, from);
      fleet.uncommitted().subtract(workers[from], guarantee.shape().perTask(), to - from);
      fleet.retain(workers[from]);
      guaranteesByWorker.put(workers[from], guarantee);
      from = to;
    }
    guarantee.setPlannedWorkers(workers);
  }

  void unassign(GuaranteeState guarantee) {
    int[] workers = guarantee.plannedWorkers();
    if (workers == null) {
      return;
    }
    guarantee.setPlannedWorkers(null);
    for (int from = 0; from < workers.length; ) {
      int to = endOfSameWorker(workers, from);
      fleet.uncommitted().add(workers[from], guarantee.shape().perTask(), to - from);
      guaranteesByWorker.remove(workers[from], guarantee);
      fleet.release(workers[from]);
      from = to;
    }
  }

  /** Returns the index after the last consecutive task on the same worker as {@code from}. */
  private static int endOfSameWorker(int[] workers, int from) {
    int to = from + 1;
    while (to < workers.length && workers[to] == workers[from]) {
      to++;
    }
    return to;
  }

  /** Unassigns the idle guarantees on a worker that is unusable or overcommitted. */
  void unassignInfeasible(int worker) {
    for (GuaranteeState guarantee : guaranteesOn(worker)) {
      boolean infeasible =
          !fleet.uncommitted().isUsable(worker) || fleet.uncommitted().isOvercommitted(worker);
      if (guarantee.isIdle() && infeasible) {
        unassign(guarantee);
      }
    }
  }

  /** Assigns a guarantee if it fits without moving others; returns whether it did. */
  boolean tryAssign(GuaranteeState guarantee) {
    List<int[]> found = search.find(PlacementQuery.of(guarantee.shape(), fleet.uncommitted()), 1);
    if (found.isEmpty()) {
      return false;
    }
    assign(guarantee, found.get(0));
    return true;
  }

  /**
   * Assigns the unassigned idle guarantees, replanning other idle ones if needed. If not all can be
   * assigned, keeps the plan with the most assigned guarantees.
   *
   * @param rounds maximum number of orders to try
   */
  void repair(int rounds) {
    List<GuaranteeState> unassigned = new ArrayList<>(unassigned());
    unassigned.sort(HARDEST_FIRST);
    unassigned.removeIf(this::tryAssign);
    if (unassigned.isEmpty()) {
      return;
    }
    List<GuaranteeState> order = new ArrayList<>(guarantees);
    order.removeIf(guarantee -> !guarantee.isIdle());
    order.sort(HARDEST_FIRST);
    Map<GuaranteeState, int[]> best = snapshot(order);
    for (int round = 0; round < rounds; round++) {
      order.forEach(this::unassign);
      List<GuaranteeState> failed = new ArrayList<>(order);
      failed.removeIf(this::tryAssign);
      if (failed.isEmpty()) {
        return;
      }
      if (order.size() - failed.size() > best.size()) {
        best = snapshot(order);
      }
      // Guarantees that did not fit are assigned first in the next round.
      List<GuaranteeState> next = new ArrayList<>(failed);
      order.stream().filter(guarantee -> !failed.contains(guarantee)).forEach(next::add);
      if (next.equals(order)) {
        break;
      }
      order = next;
    }
    restore(order, best);
  }

  /**
   * Replans idle guarantees on other workers so that the given tasks fit in the uncommitted
   * capacity. The tasks themselves are not subtracted.
   *
   * @param workers the worker of each task
   * @param perTask the resources of each task
   * @return false, with an unchanged plan, if some guarantee cannot be replanned
   */
  boolean replanAround(int[] workers, ResourceVector perTask) {
    Map<GuaranteeState, int[]> previousWorkers = new HashMap<>();
    List<GuaranteeState> displaced = new ArrayList<>();
    for (int worker : workers) {
      fleet.uncommitted().subtract(worker, perTask, 1);
    }
    for (int worker : workers) {
      for (GuaranteeState guarantee : guaranteesOn(worker)) {
        int[] plannedWorkers = guarantee.plannedWorkers();
        if (guarantee.isIdle()
            && plannedWorkers != null
            && fleet.uncommitted().isOvercommitted(worker)) {
          previousWorkers.put(guarantee, plannedWorkers);
          displaced.add(guarantee);
          unassign(guarantee);
        }
      }
    }
    displaced.sort(HARDEST_FIRST);
    boolean possible =
        Arrays.stream(workers).noneMatch(fleet.uncommitted()::isOvercommitted)
            && displaced.stream().allMatch(this::tryAssign);
    if (!possible) {
      restore(displaced, previousWorkers);
    }
    for (int worker : workers) {
      fleet.uncommitted().add(worker, perTask, 1);
    }
    return possible;
  }

  static Map<GuaranteeState, int[]> snapshot(List<GuaranteeState> affected) {
    Map<GuaranteeState, int[]> plannedWorkers = new HashMap<>();
    for (GuaranteeState guarantee : affected) {
      int[] workers = guarantee.plannedWorkers();
      if (workers != null) {
        plannedWorkers.put(guarantee, workers);
      }
    }
    return plannedWorkers;
  }

  void restore(List<GuaranteeState> affected, Map<GuaranteeState, int[]> plannedWorkers) {
    affected.forEach(this::unassign);
    for (GuaranteeState guarantee : affected) {
      int[] workers = plannedWorkers.get(guarantee);
      if (workers != null) {
        assign(guarantee, workers);
      }
    }
  }

  /** Describes in one sentence which resources an unassigned guarantee lacks. */
  String describeShortage(GuaranteeState guarantee) {
    GangShape shape = guarantee.shape();
    int maxTasks = 0;
    @Nullable String location = null;
    for (int rack = 0; rack < fleet.rackCount(); rack++) {
      int rackTasks = 0;
      for (int worker : fleet.workersOfRack(rack)) {
        int count = fleet.uncommitted().countFitting(worker, shape.perTask());
        rackTasks =
            shape.adjacency() == Adjacency.WORKER ? Math.max(rackTasks, count) : rackTasks + count;
      }
      if (shape.adjacency() == Adjacency.NONE) {
        maxTasks += rackTasks;
      } else if (rackTasks > maxTasks) {
        maxTasks = rackTasks;
        location = "rack " + fleet.rackName(rack) + " in " + fleet.dataCentreOfRack(rack);
      }
    }
    if (maxTasks >= shape.tasks()) {
      return "The shape fits on its own, but no placement was found together with the other"
          + " guarantees.";
    }
    int missingTasks = shape.tasks() - maxTasks;
    return "At most "
        + maxTasks
        + " of "
        + shape.tasks()
        + " tasks fit"
        + (location == null ? "" : ", on " + location)
        + "; missing "
        + Descriptions.resources(shape.perTask().times(missingTasks))
        + Descriptions.location(shape.adjacency())
        + '.';
  }
}
