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
 * A place for every guaranteed shape of all teams at once, next to all work that must stay.
 *
 * <p>The plan is the proof of the guarantee: as long as each shape has a place in the reclaimable
 * capacity, all shapes can be formed at once. It errs on the safe side, because a shape for which
 * the search finds no place may still have one.
 */
final class GuaranteePlan {

  /** Shapes that leave least choice come first; those without adjacency fill what is left. */
  private static final Comparator<GuaranteeState> HARDEST_FIRST =
      Comparator.<GuaranteeState>comparingInt(
              slot ->
                  slot.shape().adjacency() == Adjacency.NONE && slot.shape().tasks() > 1 ? 1 : 0)
          .thenComparingInt(slot -> -slot.accelerators())
          .thenComparingInt(slot -> slot.shape().adjacency() == Adjacency.RACK ? 1 : 0)
          .thenComparingInt(slot -> -slot.shape().perTask().accelerators())
          .thenComparingInt(slot -> -slot.shape().perTask().cores() * slot.shape().tasks())
          .thenComparing(GuaranteeState::team);

  private final Fleet fleet;
  private final PlacementSearch search;
  private final List<GuaranteeState> slots = new ArrayList<>();
  private final Map<String, List<GuaranteeState>> slotsOfTeam = new HashMap<>();
  private final SetMultimap<Integer, GuaranteeState> slotsOn = LinkedHashMultimap.create();

  GuaranteePlan(Fleet fleet) {
    this.fleet = fleet;
    this.search = new PlacementSearch(fleet);
  }

  /** Replaces the guaranteed shapes; nothing is planned yet. */
  void define(List<TeamPolicy> teams) {
    slots.forEach(this::unassign);
    slots.clear();
    slotsOfTeam.clear();
    for (TeamPolicy team : teams) {
      for (GangShape shape : team.guarantees()) {
        GuaranteeState slot = new GuaranteeState(team.team(), shape);
        slots.add(slot);
        slotsOfTeam.computeIfAbsent(team.team(), t -> new ArrayList<>()).add(slot);
      }
    }
  }

  List<GuaranteeState> slots() {
    return slots;
  }

  List<GuaranteeState> slotsOf(String team) {
    return slotsOfTeam.getOrDefault(team, List.of());
  }

  /** Returns the guarantees that nobody uses and that have no place. */
  List<GuaranteeState> missing() {
    return slots.stream().filter(slot -> slot.isIdle() && slot.plan() == null).toList();
  }

  List<GuaranteeState> slotsOn(int worker) {
    return List.copyOf(slotsOn.get(worker));
  }

  void assign(GuaranteeState slot, int[] workers) {
    unassign(slot);
    for (int from = 0; from < workers.length; ) {
      int to = endOfRun(workers, from);
      fleet.reclaimable().take(workers[from], slot.shape().perTask(), to - from);
      fleet.hold(workers[from]);
      slotsOn.put(workers[from], slot);
      from = to;
    }
    slot.setPlan(workers);
  }

  void unassign(GuaranteeState slot) {
    int[] workers = slot.plan();
    if (workers == null) {
      return;
    }
    slot.setPlan(null);
    for (int from = 0; from < workers.length; ) {
      int to = endOfRun(workers, from);
      fleet.reclaimable().add(workers[from], slot.shape().perTask(), to - from);
      slotsOn.remove(workers[from], slot);
      fleet.unhold(workers[from]);
      from = to;
    }
  }

  /** Returns where the tasks that are on the same worker as one task end. */
  private static int endOfRun(int[] workers, int from) {
    int to = from + 1;
    while (to < workers.length && workers[to] == workers[from]) {
      to++;
    }
    return to;
  }

  /** Drops the places of unused guarantees on a worker that cannot hold them any more. */
  void dropBroken(int worker) {
    for (GuaranteeState slot : slotsOn(worker)) {
      boolean broken =
          !fleet.reclaimable().isUsable(worker) || fleet.reclaimable().isOverdrawn(worker);
      if (slot.isIdle() && broken) {
        unassign(slot);
      }
    }
  }

  /** Finds a place for one shape without moving others. */
  boolean place(GuaranteeState slot) {
    List<int[]> found = search.find(PlacementQuery.of(slot.shape(), fleet.reclaimable()), 1);
    if (found.isEmpty()) {
      return false;
    }
    assign(slot, found.get(0));
    return true;
  }

  /**
   * Finds places for all unused guarantees that have none, moving the places of others if needed.
   *
   * @param rounds how many orders to try
   */
  void repair(int rounds) {
    List<GuaranteeState> missing = new ArrayList<>(missing());
    missing.sort(HARDEST_FIRST);
    missing.removeIf(this::place);
    if (missing.isEmpty()) {
      return;
    }
    List<GuaranteeState> order = new ArrayList<>(slots);
    order.removeIf(slot -> !slot.isIdle());
    order.sort(HARDEST_FIRST);
    Map<GuaranteeState, int[]> best = snapshot(order);
    for (int round = 0; round < rounds; round++) {
      order.forEach(this::unassign);
      List<GuaranteeState> failed = new ArrayList<>(order);
      failed.removeIf(this::place);
      if (failed.isEmpty()) {
        return;
      }
      if (order.size() - failed.size() > best.size()) {
        best = snapshot(order);
      }
      // What found no place goes first in the next round.
      List<GuaranteeState> next = new ArrayList<>(failed);
      order.stream().filter(slot -> !failed.contains(slot)).forEach(next::add);
      if (next.equals(order)) {
        break;
      }
      order = next;
    }
    restore(order, best);
  }

  /**
   * Makes room in the reclaimable capacity by planning unused guarantees elsewhere.
   *
   * @param workers where room is needed, per task
   * @param perTask how much per task
   * @return false, with an unchanged plan, if some guarantee would have no place
   */
  boolean displace(int[] workers, ResourceVector perTask) {
    Map<GuaranteeState, int[]> moved = new HashMap<>();
    List<GuaranteeState> order = new ArrayList<>();
    for (int worker : workers) {
      fleet.reclaimable().take(worker, perTask, 1);
    }
    for (int worker : workers) {
      for (GuaranteeState slot : slotsOn(worker)) {
        int[] plan = slot.plan();
        if (slot.isIdle() && plan != null && fleet.reclaimable().isOverdrawn(worker)) {
          moved.put(slot, plan);
          order.add(slot);
          unassign(slot);
        }
      }
    }
    order.sort(HARDEST_FIRST);
    boolean possible =
        Arrays.stream(workers).noneMatch(fleet.reclaimable()::isOverdrawn)
            && order.stream().allMatch(this::place);
    if (!possible) {
      restore(order, moved);
    }
    for (int worker : workers) {
      fleet.reclaimable().add(worker, perTask, 1);
    }
    return possible;
  }

  static Map<GuaranteeState, int[]> snapshot(List<GuaranteeState> order) {
    Map<GuaranteeState, int[]> places = new HashMap<>();
    for (GuaranteeState slot : order) {
      int[] plan = slot.plan();
      if (plan != null) {
        places.put(slot, plan);
      }
    }
    return places;
  }

  void restore(List<GuaranteeState> order, Map<GuaranteeState, int[]> places) {
    order.forEach(this::unassign);
    for (GuaranteeState slot : order) {
      int[] plan = places.get(slot);
      if (plan != null) {
        assign(slot, plan);
      }
    }
  }

  /** Says in one sentence what a shape without a place lacks. */
  String missing(GuaranteeState slot) {
    GangShape shape = slot.shape();
    int best = 0;
    @Nullable String where = null;
    for (int rack = 0; rack < fleet.racks(); rack++) {
      int sum = 0;
      for (int worker : fleet.membersOfRack(rack)) {
        int count = fleet.reclaimable().count(worker, shape.perTask());
        sum = shape.adjacency() == Adjacency.WORKER ? Math.max(sum, count) : sum + count;
      }
      if (shape.adjacency() == Adjacency.NONE) {
        best += sum;
      } else if (sum > best) {
        best = sum;
        where = "rack " + fleet.rackName(rack) + " in " + fleet.dataCentreOfRack(rack);
      }
    }
    if (best >= shape.tasks()) {
      return "The shape fits alone, but no place was found next to the other guarantees.";
    }
    int lacking = shape.tasks() - best;
    return "At most "
        + best
        + " of "
        + shape.tasks()
        + " tasks fit"
        + (where == null ? "" : ", on " + where)
        + "; missing "
        + Descriptions.amount(shape.perTask().times(lacking))
        + Descriptions.where(shape.adjacency())
        + '.';
  }
}
