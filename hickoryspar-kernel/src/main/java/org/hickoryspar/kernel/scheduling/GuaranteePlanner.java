package org.hickoryspar.kernel.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Keeps the plan of the guarantees valid, and restores it when capacity has left. */
final class GuaranteePlanner {

  private static final int REPAIR_ROUNDS = 4;

  /**
   * Time to the next complete repair, doubled while it does not help. In between, each release only
   * tries the shapes that were lost; a repair at every release would cost far more than it restores
   * while whole data centres are out.
   */
  private static final long REPAIR_MILLIS = 1_000;

  private static final long MOST_REPAIR_MILLIS = 16_000;

  /** For how many racks or workers moves are tried per shape. */
  private static final int MOST_MOVE_DOMAINS = 8;

  private final ClusterState state;
  private final GuaranteePlan plan;
  private final PlacementSearch search;
  private final PreemptionPolicy policy;
  private final BitSet keptForRestore = new BitSet();
  private long plannedVersion = -1;
  private long repairDelayMillis = REPAIR_MILLIS;
  private long nextRepairMillis = Long.MIN_VALUE;
  private boolean isMoveDue;
  private int missingBefore;
  private int keptMissing;

  GuaranteePlanner(ClusterState state, GuaranteePlan plan, PreemptionPolicy policy) {
    this.state = state;
    this.plan = plan;
    this.search = new PlacementSearch(state.fleet());
    this.policy = policy;
  }

  /** Replaces the guarantees; running gangs take those that they match. */
  void define(List<TeamPolicy> teams) {
    for (Gang gang : state.gangs().values()) {
      if (gang.slot() != null) {
        state.setSlot(gang, null);
      }
    }
    plan.define(teams);
    List<Gang> gangs = new ArrayList<>(state.gangs().values());
    gangs.sort(
        Comparator.comparing((Gang gang) -> gang.job().preemptible())
            .thenComparing(Gang::startedMillis)
            .thenComparing(gang -> gang.job().jobId()));
    gangs.forEach(this::adopt);
    plan.repair(REPAIR_ROUNDS * 4);
    capacityReturned();
    state.changed();
  }

  /** Lets a running gang use a guarantee of its team that it matches and that nobody uses. */
  void adopt(Gang gang) {
    List<GuaranteeState> matching = new ArrayList<>(plan.slotsOf(gang.job().team()));
    matching.removeIf(slot -> !slot.isIdle() || !slot.matches(gang.job()));
    matching.sort(Comparator.comparingLong(slot -> slot.excess(gang.job())));
    for (GuaranteeState slot : matching) {
      if (adopt(gang, slot)) {
        return;
      }
    }
  }

  private boolean adopt(Gang gang, GuaranteeState slot) {
    if (gang.slot() != null
        || gang.isStopping()
        || !slot.matches(gang.job())
        || !isAdjacent(gang.workers(), slot.shape().adjacency())) {
      return false;
    }
    int[] before = slot.plan();
    state.setSlot(gang, slot);
    plan.assign(slot, gang.workers());
    if (Arrays.stream(gang.workers()).anyMatch(state.fleet().reclaimable()::isOverdrawn)) {
      plan.unassign(slot);
      state.setSlot(gang, null);
      if (before != null) {
        plan.assign(slot, before);
      }
      return false;
    }
    slot.setHolder(gang.job().jobId());
    return true;
  }

  private boolean isAdjacent(int[] workers, Adjacency adjacency) {
    return switch (adjacency) {
      case NONE -> true;
      case WORKER -> Arrays.stream(workers).allMatch(worker -> worker == workers[0]);
      case RACK ->
          Arrays.stream(workers)
              .allMatch(worker -> state.fleet().rackOf(worker) == state.fleet().rackOf(workers[0]));
    };
  }

  /** Frees the guarantee of a gang that has ended; its place stays planned if it still can. */
  void released(Gang gang) {
    GuaranteeState slot = gang.slot();
    if (slot != null && gang.job().jobId().equals(slot.holder())) {
      slot.setHolder(null);
      for (int worker : gang.workers()) {
        plan.dropBroken(worker);
      }
    }
  }

  /** Tries a complete repair at the next occasion, because workers have returned. */
  void capacityReturned() {
    repairDelayMillis = REPAIR_MILLIS;
    nextRepairMillis = Long.MIN_VALUE;
  }

  /** Finds places for guarantees that have none, without moving gangs. */
  void restorePlan(long nowMillis) {
    if (plannedVersion == state.version()) {
      return;
    }
    plannedVersion = state.version();
    plan.missing().forEach(plan::place);
    int left = plan.missing().size();
    if (left > 0 && (left > missingBefore || nowMillis >= nextRepairMillis)) {
      plan.missing().forEach(this::adoptAny);
      plan.repair(REPAIR_ROUNDS);
      isMoveDue = true;
      boolean better = plan.missing().size() < left;
      repairDelayMillis =
          better ? REPAIR_MILLIS : Math.min(MOST_REPAIR_MILLIS, repairDelayMillis * 2);
      nextRepairMillis = nowMillis + repairDelayMillis;
    }
    missingBefore = plan.missing().size();
  }

  /** Finds places for guarantees that have none: by planning, then by moving running gangs. */
  void restore(long nowMillis, List<Decision> decisions) {
    restorePlan(nowMillis);
    if (isMoveDue) {
      isMoveDue = false;
      for (GuaranteeState slot : plan.missing()) {
        move(slot, nowMillis, decisions);
      }
      missingBefore = plan.missing().size();
    }
    if (keptMissing != missingBefore) {
      keptMissing = missingBefore;
      keepRoom(plan.missing());
    }
  }

  private void adoptAny(GuaranteeState slot) {
    for (Gang gang : state.gangs().values()) {
      if (gang.slot() == null && adopt(gang, slot)) {
        return;
      }
    }
  }

  /**
   * Returns whether work that may not be preempted has to stay off a worker, because the worker is
   * where a missing guarantee is closest to being formed.
   */
  boolean isKept(int worker) {
    return keptForRestore.get(worker);
  }

  private void keepRoom(List<GuaranteeState> missing) {
    keptForRestore.clear();
    Fleet fleet = state.fleet();
    for (GuaranteeState slot : missing) {
      if (slot.shape().adjacency() == Adjacency.NONE) {
        keptForRestore.set(0, fleet.bound());
        return;
      }
      int bestRack = -1;
      int bestTasks = -1;
      for (int rack = 0; rack < fleet.racks(); rack++) {
        int tasks = 0;
        for (int worker : fleet.membersOfRack(rack)) {
          tasks += fleet.reclaimable().count(worker, slot.shape().perTask());
        }
        if (tasks > bestTasks) {
          bestTasks = tasks;
          bestRack = rack;
        }
      }
      if (bestRack >= 0) {
        Arrays.stream(fleet.membersOfRack(bestRack)).forEach(keptForRestore::set);
      }
    }
  }

  /** Forms a shape by preempting gangs that use guarantees which can be formed elsewhere. */
  private void move(GuaranteeState slot, long nowMillis, List<Decision> decisions) {
    Fleet fleet = state.fleet();
    if (slot.shape().adjacency() == Adjacency.NONE && slot.shape().tasks() > 1) {
      return;
    }
    int tried = 0;
    for (int rack = 0; rack < fleet.racks() && tried < MOST_MOVE_DOMAINS; rack++) {
      Set<Integer> domain = new LinkedHashSet<>();
      Arrays.stream(fleet.membersOfRack(rack))
          .filter(fleet.reclaimable()::isUsable)
          .forEach(domain::add);
      List<Gang> movable = movable(domain, nowMillis);
      if (!movable.isEmpty()) {
        tried++;
        if (moveWithin(slot, domain, movable, decisions)) {
          return;
        }
      }
    }
  }

  private List<Gang> movable(Set<Integer> domain, long nowMillis) {
    Set<Gang> found = new LinkedHashSet<>();
    for (int worker : domain) {
      for (Gang gang : state.gangsOn(worker).keySet()) {
        if (gang.slot() != null && gang.job().preemptible() && !gang.isStopping()) {
          found.add(gang);
        }
      }
    }
    Map<Gang, Double> prices = new HashMap<>();
    found.forEach(gang -> prices.put(gang, policy.cost(gang.asRunning(state.fleet()), nowMillis)));
    List<Gang> sorted = new ArrayList<>(found);
    sorted.sort(Comparator.comparingDouble((Gang gang) -> prices.getOrDefault(gang, 0.0)));
    return sorted;
  }

  private boolean moveWithin(
      GuaranteeState slot, Set<Integer> domain, List<Gang> movable, List<Decision> decisions) {
    List<GuaranteeState> touched = new ArrayList<>(List.of(slot));
    List<Gang> moved = new ArrayList<>();
    for (Gang gang : movable) {
      GuaranteeState used = gang.slot();
      if (used != null) {
        touched.add(used);
        moved.add(gang);
      }
    }
    Map<GuaranteeState, int[]> before = GuaranteePlan.snapshot(touched);
    PlacementQuery demand =
        new PlacementQuery(
            slot.shape().tasks(),
            slot.shape().adjacency(),
            state.fleet().reclaimable(),
            slot.shape().perTask(),
            null,
            domain::contains);
    for (int evicted = 1; evicted < touched.size(); evicted++) {
      plan.unassign(touched.get(evicted));
      List<int[]> found = search.find(demand, 1);
      if (!found.isEmpty()) {
        plan.assign(slot, found.get(0));
        if (touched.subList(1, evicted + 1).stream().allMatch(plan::place)) {
          moved.subList(0, evicted).forEach(gang -> stop(gang, slot, decisions));
          return true;
        }
        break;
      }
    }
    plan.restore(touched, before);
    return false;
  }

  /**
   * Preempts batch work of the team that uses a guarantee which an urgent job asks for.
   *
   * @return the guarantee, or null if no batch work uses one that matches
   */
  @Nullable GuaranteeState takeOver(JobRequest job, List<Decision> decisions) {
    for (GuaranteeState slot : plan.slotsOf(job.team())) {
      Gang gang = slot.holder() == null ? null : state.gangs().get(slot.holder());
      if (gang != null
          && gang.job().preemptible()
          && !gang.job().urgent()
          && !gang.isStopping()
          && slot.matches(job)
          && Arrays.stream(gang.workers()).allMatch(state.fleet().reclaimable()::isUsable)) {
        slot.setHolder(null);
        state.setSlot(gang, null);
        gang.stop();
        String reason = "Preempted to start urgent work of its own team " + job.team() + ".";
        decisions.add(new Decision.Preempt(gang.job().jobId(), job.jobId(), reason));
        return slot;
      }
    }
    return null;
  }

  private void stop(Gang gang, GuaranteeState slot, List<Decision> decisions) {
    GuaranteeState used = gang.slot();
    if (used != null) {
      used.setHolder(null);
      state.setSlot(gang, null);
      gang.stop();
      String reason =
          "Preempted to move it, because a guarantee of team "
              + slot.team()
              + " can only be formed on its workers; its own guarantee is kept elsewhere.";
      String jobId = gang.job().jobId();
      decisions.add(new Decision.Preempt(jobId, jobId, reason));
    }
  }
}
