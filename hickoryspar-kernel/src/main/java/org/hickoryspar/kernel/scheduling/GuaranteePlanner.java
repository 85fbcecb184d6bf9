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

/** Maintains the plan of the guarantees and repairs it after a loss of capacity. */
final class GuaranteePlanner {

  private static final int REPAIR_ROUNDS = 4;

  /**
   * Delay before the next complete repair, doubled after each repair that assigns no further
   * guarantee. Until then, a change of the cluster only retries the unassigned guarantees: a
   * complete repair at every release would cost far more than it restores while whole data centres
   * are out of service.
   */
  private static final long MIN_REPAIR_DELAY_MILLIS = 1_000;

  private static final long MAX_REPAIR_DELAY_MILLIS = 16_000;

  /** Maximum number of racks in which moves are tried for one guarantee. */
  private static final int MAX_MOVE_DOMAINS = 8;

  private final ClusterState state;
  private final GuaranteePlan plan;
  private final PlacementSearch search;
  private final PreemptionPolicy policy;
  private final BitSet protectedWorkers = new BitSet();
  private long plannedVersion = -1;
  private long repairDelayMillis = MIN_REPAIR_DELAY_MILLIS;
  private long nextRepairMillis = Long.MIN_VALUE;
  private boolean movePending;
  private int lastUnassignedCount;
  private int unassignedCountWhenProtected;

  GuaranteePlanner(ClusterState state, GuaranteePlan plan, PreemptionPolicy policy) {
    this.state = state;
    this.plan = plan;
    this.search = new PlacementSearch(state.fleet());
    this.policy = policy;
  }

  /** Replaces the guarantees, binds matching gangs to them and plans the remaining ones. */
  void define(List<TeamPolicy> teams) {
    for (Gang gang : state.gangs().values()) {
      if (gang.guarantee() != null) {
        state.setGuarantee(gang, null);
      }
    }
    plan.define(teams);
    List<Gang> gangs = new ArrayList<>(state.gangs().values());
    gangs.sort(
        Comparator.comparing((Gang gang) -> gang.job().preemptible())
            .thenComparing(Gang::startedMillis)
            .thenComparing(gang -> gang.job().jobId()));
    gangs.forEach(this::bind);
    plan.repair(REPAIR_ROUNDS * 4);
    resetRepairDelay();
    state.incrementVersion();
  }

  /** Binds a gang to the idle guarantee of its team that it matches with the least excess. */
  void bind(Gang gang) {
    List<GuaranteeState> matching = new ArrayList<>(plan.guaranteesOf(gang.job().team()));
    matching.removeIf(guarantee -> !guarantee.isIdle() || !guarantee.matches(gang.job()));
    matching.sort(Comparator.comparingLong(guarantee -> guarantee.excess(gang.job())));
    for (GuaranteeState guarantee : matching) {
      if (tryBind(gang, guarantee)) {
        return;
      }
    }
  }

  private boolean tryBind(Gang gang, GuaranteeState guarantee) {
    if (gang.guarantee() != null
        || gang.isStopping()
        || !guarantee.matches(gang.job())
        || !satisfiesAdjacency(gang.workers(), guarantee.shape().adjacency())) {
      return false;
    }
    int[] previousWorkers = guarantee.plannedWorkers();
    state.setGuarantee(gang, guarantee);
    plan.assign(guarantee, gang.workers());
    if (Arrays.stream(gang.workers()).anyMatch(state.fleet().uncommitted()::isOvercommitted)) {
      plan.unassign(guarantee);
      state.setGuarantee(gang, null);
      if (previousWorkers != null) {
        plan.assign(guarantee, previousWorkers);
      }
      return false;
    }
    guarantee.setHolderJobId(gang.job().jobId());
    return true;
  }

  private boolean satisfiesAdjacency(int[] workers, Adjacency adjacency) {
    return switch (adjacency) {
      case NONE -> true;
      case WORKER -> Arrays.stream(workers).allMatch(worker -> worker == workers[0]);
      case RACK ->
          Arrays.stream(workers)
              .allMatch(worker -> state.fleet().rackOf(worker) == state.fleet().rackOf(workers[0]));
    };
  }

  /**
   * Releases the guarantee of a gang that has ended. Its workers stay planned unless they can no
   * longer hold the guarantee.
   */
  void release(Gang gang) {
    GuaranteeState guarantee = gang.guarantee();
    if (guarantee != null && gang.job().jobId().equals(guarantee.holderJobId())) {
      guarantee.setHolderJobId(null);
      for (int worker : gang.workers()) {
        plan.unassignInfeasible(worker);
      }
    }
  }

  /** Lets the next {@link #repairPlan} attempt a complete repair, because workers have returned. */
  void resetRepairDelay() {
    repairDelayMillis = MIN_REPAIR_DELAY_MILLIS;
    nextRepairMillis = Long.MIN_VALUE;
  }

  /** Assigns workers to unassigned guarantees without moving gangs. */
  void repairPlan(long nowMillis) {
    if (plannedVersion == state.version()) {
      return;
    }
    plannedVersion = state.version();
    plan.unassigned().forEach(plan::tryAssign);
    int unassignedCount = plan.unassigned().size();
    if (unassignedCount > 0
        && (unassignedCount > lastUnassignedCount || nowMillis >= nextRepairMillis)) {
      plan.unassigned().forEach(this::bindAnyGang);
      plan.repair(REPAIR_ROUNDS);
      movePending = true;
      boolean improved = plan.unassigned().size() < unassignedCount;
      repairDelayMillis =
          improved
              ? MIN_REPAIR_DELAY_MILLIS
              : Math.min(MAX_REPAIR_DELAY_MILLIS, repairDelayMillis * 2);
      nextRepairMillis = nowMillis + repairDelayMillis;
    }
    lastUnassignedCount = plan.unassigned().size();
  }

  /** Assigns workers to unassigned guarantees, moving running gangs if needed. */
  void repair(long nowMillis, List<Decision> decisions) {
    repairPlan(nowMillis);
    if (movePending) {
      movePending = false;
      for (GuaranteeState guarantee : plan.unassigned()) {
        moveGangsFor(guarantee, nowMillis, decisions);
      }
      lastUnassignedCount = plan.unassigned().size();
    }
    if (unassignedCountWhenProtected != lastUnassignedCount) {
      unassignedCountWhenProtected = lastUnassignedCount;
      protectWorkers(plan.unassigned());
    }
  }

  private void bindAnyGang(GuaranteeState guarantee) {
    for (Gang gang : state.gangs().values()) {
      if (gang.guarantee() == null && tryBind(gang, guarantee)) {
        return;
      }
    }
  }

  /**
   * Returns whether a worker is closed to non-preemptible work because an unassigned guarantee is
   * closest to being formed there.
   */
  boolean isProtected(int worker) {
    return protectedWorkers.get(worker);
  }

  private void protectWorkers(List<GuaranteeState> unassigned) {
    protectedWorkers.clear();
    Fleet fleet = state.fleet();
    for (GuaranteeState guarantee : unassigned) {
      if (guarantee.shape().adjacency() == Adjacency.NONE) {
        protectedWorkers.set(0, fleet.workerNumberLimit());
        return;
      }
      int bestRack = -1;
      int maxTasks = -1;
      for (int rack = 0; rack < fleet.rackCount(); rack++) {
        int tasks = 0;
        for (int worker : fleet.workersOfRack(rack)) {
          tasks += fleet.uncommitted().countFitting(worker, guarantee.shape().perTask());
        }
        if (tasks > maxTasks) {
          maxTasks = tasks;
          bestRack = rack;
        }
      }
      if (bestRack >= 0) {
        Arrays.stream(fleet.workersOfRack(bestRack)).forEach(protectedWorkers::set);
      }
    }
  }

  /**
   * Assigns a guarantee to the workers of gangs whose own guarantees can be formed elsewhere, and
   * preempts these gangs so that they move.
   */
  private void moveGangsFor(GuaranteeState guarantee, long nowMillis, List<Decision> decisions) {
    Fleet fleet = state.fleet();
    if (guarantee.shape().adjacency() == Adjacency.NONE && guarantee.shape().tasks() > 1) {
      return;
    }
    int triedDomains = 0;
    for (int rack = 0; rack < fleet.rackCount() && triedDomains < MAX_MOVE_DOMAINS; rack++) {
      Set<Integer> domain = new LinkedHashSet<>();
      Arrays.stream(fleet.workersOfRack(rack))
          .filter(fleet.uncommitted()::isUsable)
          .forEach(domain::add);
      List<Gang> movable = movableGangs(domain, nowMillis);
      if (!movable.isEmpty()) {
        triedDomains++;
        if (tryMoveWithin(guarantee, domain, movable, decisions)) {
          return;
        }
      }
    }
  }

  private List<Gang> movableGangs(Set<Integer> domain, long nowMillis) {
    Set<Gang> found = new LinkedHashSet<>();
    for (int worker : domain) {
      for (Gang gang : state.gangsOn(worker).keySet()) {
        if (gang.guarantee() != null && gang.job().preemptible() && !gang.isStopping()) {
          found.add(gang);
        }
      }
    }
    Map<Gang, Double> costs = new HashMap<>();
    found.forEach(
        gang -> costs.put(gang, policy.cost(gang.toRunningGang(state.fleet()), nowMillis)));
    List<Gang> sorted = new ArrayList<>(found);
    sorted.sort(Comparator.comparingDouble((Gang gang) -> costs.getOrDefault(gang, 0.0)));
    return sorted;
  }

  private boolean tryMoveWithin(
      GuaranteeState guarantee, Set<Integer> domain, List<Gang> movable, List<Decision> decisions) {
    List<GuaranteeState> affected = new ArrayList<>(List.of(guarantee));
    List<Gang> candidates = new ArrayList<>();
    for (Gang gang : movable) {
      GuaranteeState ownGuarantee = gang.guarantee();
      if (ownGuarantee != null) {
        affected.add(ownGuarantee);
        candidates.add(gang);
      }
    }
    Map<GuaranteeState, int[]> previousWorkers = GuaranteePlan.snapshot(affected);
    PlacementQuery query =
        new PlacementQuery(
            guarantee.shape().tasks(),
            guarantee.shape().adjacency(),
            state.fleet().uncommitted(),
            guarantee.shape().perTask(),
            null,
            domain::contains);
    for (int movedCount = 1; movedCount < affected.size(); movedCount++) {
      plan.unassign(affected.get(movedCount));
      List<int[]> found = search.find(query, 1);
      if (!found.isEmpty()) {
        plan.assign(guarantee, found.get(0));
        if (affected.subList(1, movedCount + 1).stream().allMatch(plan::tryAssign)) {
          candidates
              .subList(0, movedCount)
              .forEach(gang -> preemptToMove(gang, guarantee, decisions));
          return true;
        }
        break;
      }
    }
    plan.restore(affected, previousWorkers);
    return false;
  }

  /**
   * Releases a guarantee for an urgent job of the same team by preempting the batch gang that uses
   * it.
   *
   * @return the released guarantee, or null if no preemptible batch gang uses a matching one
   */
  @Nullable GuaranteeState preemptHolder(JobRequest job, List<Decision> decisions) {
    for (GuaranteeState guarantee : plan.guaranteesOf(job.team())) {
      Gang gang =
          guarantee.holderJobId() == null ? null : state.gangs().get(guarantee.holderJobId());
      if (gang != null
          && gang.job().preemptible()
          && !gang.job().urgent()
          && !gang.isStopping()
          && guarantee.matches(job)
          && Arrays.stream(gang.workers()).allMatch(state.fleet().uncommitted()::isUsable)) {
        guarantee.setHolderJobId(null);
        state.setGuarantee(gang, null);
        gang.markStopping();
        String reason = "Preempted to start urgent work of its own team " + job.team() + ".";
        decisions.add(new Decision.Preempt(gang.job().jobId(), job.jobId(), reason));
        return guarantee;
      }
    }
    return null;
  }

  private void preemptToMove(Gang gang, GuaranteeState guarantee, List<Decision> decisions) {
    GuaranteeState ownGuarantee = gang.guarantee();
    if (ownGuarantee != null) {
      ownGuarantee.setHolderJobId(null);
      state.setGuarantee(gang, null);
      gang.markStopping();
      String reason =
          "Preempted to move it, because a guarantee of team "
              + guarantee.team()
              + " can only be formed on its workers; its own guarantee is kept elsewhere.";
      String jobId = gang.job().jobId();
      decisions.add(new Decision.Preempt(jobId, jobId, reason));
    }
  }
}
