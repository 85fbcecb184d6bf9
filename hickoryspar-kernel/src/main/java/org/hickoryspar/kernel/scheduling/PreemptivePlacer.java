package org.hickoryspar.kernel.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.function.IntPredicate;
import java.util.function.Predicate;
import org.hickoryspar.kernel.scheduling.VictimSelector.Selection;
import org.jspecify.annotations.Nullable;

/** Places jobs by preempting gangs, and starts them once their victims have ended. */
final class PreemptivePlacer {

  /** Maximum number of placements found and ordered by their missing accelerators. */
  private static final int MAX_PLACEMENTS = 48;

  /** Maximum number of placements for which victims are selected. */
  private static final int MAX_COSTED_PLACEMENTS = 8;

  /** Maximum number of placements found in one search of reserved workers. */
  private static final int MAX_RESERVED_PLACEMENTS = 4;

  /** A placement with the victims that must end to free its resources. */
  private static final class CostedPlacement {
    private final int[] workers;
    private final Selection selection;

    CostedPlacement(int[] workers, Selection selection) {
      this.workers = workers;
      this.selection = selection;
    }
  }

  private final ClusterState state;
  private final GuaranteePlan plan;
  private final PlacementSearch search;
  private final VictimSelector victimSelector;
  private final GangStarter starter;

  PreemptivePlacer(
      ClusterState state, GuaranteePlan plan, PreemptionPolicy policy, GangStarter starter) {
    this.state = state;
    this.plan = plan;
    this.search = new PlacementSearch(state.fleet());
    this.victimSelector = new VictimSelector(state, policy);
    this.starter = starter;
  }

  VictimSelector victimSelector() {
    return victimSelector;
  }

  /**
   * Reserves workers for a job under a guarantee by preempting the victims with the least cost.
   *
   * @return false, with an unchanged assignment, if no placement can be freed
   */
  boolean reclaimGuarantee(
      JobRequest job,
      GuaranteeState guarantee,
      IntPredicate allowed,
      long nowMillis,
      List<Decision> decisions) {
    int[] previousWorkers = guarantee.plannedWorkers();
    if (previousWorkers == null) {
      return false;
    }
    Fleet fleet = state.fleet();
    plan.unassign(guarantee);
    PlacementQuery query =
        new PlacementQuery(
            guarantee.shape().tasks(),
            guarantee.shape().adjacency(),
            fleet.freeAfterPreemption(),
            job.shape().perTask(),
            new PlacementQuery.Limit(fleet.uncommitted(), guarantee.shape().perTask()),
            allowed);
    List<int[]> placements = search.find(query, MAX_PLACEMENTS);
    CostedPlacement best = cheapest(job, placements, previousWorkers, gang -> true, nowMillis);
    if (best == null && cancelUnguaranteed(previousWorkers)) {
      best = cheapest(job, List.of(), previousWorkers, gang -> true, nowMillis);
    }
    if (best == null) {
      plan.assign(guarantee, previousWorkers);
      return false;
    }
    plan.assign(guarantee, best.workers);
    guarantee.setHolderJobId(job.jobId());
    String reason = "Preempted to return the guaranteed shape of team " + job.team() + ".";
    preemptFor(job, best, guarantee, reason, decisions);
    return true;
  }

  /** Reserves workers for an urgent job by preempting batch gangs that use no guarantee. */
  boolean preemptBatch(
      JobRequest job, IntPredicate allowed, long nowMillis, List<Decision> decisions) {
    Fleet fleet = state.fleet();
    GangShape shape = job.shape();
    PlacementQuery.Limit limit =
        job.preemptible() ? null : new PlacementQuery.Limit(fleet.uncommitted(), shape.perTask());
    PlacementQuery query =
        new PlacementQuery(
            shape.tasks(),
            shape.adjacency(),
            fleet.freeAfterPreemption(),
            shape.perTask(),
            limit,
            allowed);
    List<int[]> placements = search.find(query, MAX_PLACEMENTS);
    CostedPlacement best = cheapest(job, placements, null, gang -> !gang.job().urgent(), nowMillis);
    if (best == null) {
      return false;
    }
    preemptFor(
        job, best, null, "Preempted to start urgent work of team " + job.team() + ".", decisions);
    return true;
  }

  /** Reserves workers of a reservation by preempting backfilled gangs. */
  boolean preemptBackfilled(
      JobRequest job,
      BackfillReservations.BackfillReservation reservation,
      long nowMillis,
      List<Decision> decisions) {
    Set<Integer> members = Set.copyOf(Arrays.stream(reservation.workers()).boxed().toList());
    IntPredicate clearable = worker -> members.contains(worker) && isClearable(worker, reservation);
    List<int[]> placements = new ArrayList<>(findReserved(job, clearable));
    placements.addAll(findReserved(job, members::contains));
    CostedPlacement best = cheapest(job, placements, null, reservation::isBackfilled, nowMillis);
    if (best == null || best.selection.victims().isEmpty()) {
      return false;
    }
    String reason =
        "Preempted because a job of team " + job.team() + " can start on the workers kept for it.";
    preemptFor(job, best, null, reason, decisions);
    return true;
  }

  private List<int[]> findReserved(JobRequest job, IntPredicate allowed) {
    Fleet fleet = state.fleet();
    GangShape shape = job.shape();
    PlacementQuery.Limit limit =
        job.preemptible() ? null : new PlacementQuery.Limit(fleet.uncommitted(), shape.perTask());
    PlacementQuery query =
        new PlacementQuery(
            shape.tasks(),
            shape.adjacency(),
            fleet.freeAfterPreemption(),
            shape.perTask(),
            limit,
            allowed);
    return search.find(query, MAX_RESERVED_PLACEMENTS);
  }

  /** Returns whether all preemptible gangs on a worker were backfilled. */
  private boolean isClearable(int worker, BackfillReservations.BackfillReservation reservation) {
    return state.gangsOn(worker).keySet().stream()
        .filter(Gang::isPreemptible)
        .allMatch(reservation::isBackfilled);
  }

  private void preemptFor(
      JobRequest job,
      CostedPlacement placement,
      @Nullable GuaranteeState guarantee,
      String reason,
      List<Decision> decisions) {
    state.waiting().remove(job.jobId());
    List<String> victimJobIds = new ArrayList<>();
    for (Gang victim : placement.selection.victims()) {
      victim.markStopping();
      victimJobIds.add(victim.job().jobId());
      decisions.add(new Decision.Preempt(victim.job().jobId(), job.jobId(), reason));
    }
    state.reserve(new PendingPlacement(job, placement.workers, guarantee, victimJobIds));
  }

  private @Nullable CostedPlacement cheapest(
      JobRequest job,
      List<int[]> placements,
      int @Nullable [] guaranteePlacement,
      Predicate<Gang> eligible,
      long nowMillis) {
    List<int[]> ordered = new ArrayList<>(placements);
    ordered.sort(Comparator.comparingInt(workers -> missingAccelerators(workers, job)));
    List<int[]> costed =
        new ArrayList<>(ordered.subList(0, Math.min(MAX_COSTED_PLACEMENTS, ordered.size())));
    if (guaranteePlacement != null) {
      costed.add(guaranteePlacement);
    }
    CostedPlacement cheapest = null;
    for (int[] workers : costed) {
      Selection selection = victimSelector.select(job, workers, eligible, Set.of(), nowMillis);
      if (selection != null && (cheapest == null || selection.cost() < cheapest.selection.cost())) {
        cheapest = new CostedPlacement(workers, selection);
      }
    }
    return cheapest;
  }

  private int missingAccelerators(int[] workers, JobRequest job) {
    int perTask = Math.max(1, job.shape().perTask().accelerators());
    int missing = 0;
    int i = 0;
    while (i < workers.length) {
      int worker = workers[i];
      int tasks = 0;
      for (; i < workers.length && workers[i] == worker; i++) {
        tasks++;
      }
      missing += Math.max(0, tasks * perTask - state.fleet().free().accelerators(worker));
    }
    return missing;
  }

  /**
   * Cancels the pending placements of preemptible jobs without a guarantee on the given workers;
   * returns whether any was cancelled.
   */
  private boolean cancelUnguaranteed(int[] workers) {
    boolean cancelled = false;
    for (PendingPlacement pending : List.copyOf(state.pendingPlacements().values())) {
      boolean overlaps = Arrays.stream(workers).anyMatch(worker -> pending.tasksOn(worker) > 0);
      if (pending.guarantee() == null && pending.job().preemptible() && overlaps) {
        cancel(pending, true);
        cancelled = true;
      }
    }
    return cancelled;
  }

  /** Starts the jobs whose reserved resources are free. */
  void startReady(long nowMillis, List<Decision> decisions) {
    for (PendingPlacement pending : List.copyOf(state.pendingPlacements().values())) {
      if (isReady(pending)) {
        state.release(pending);
        starter.start(pending.job(), pending.workers(), pending.guarantee(), nowMillis, decisions);
        state.incrementVersion();
      }
    }
  }

  private boolean isReady(PendingPlacement pending) {
    TeamState team = state.team(pending.job().team());
    if (!team.hasQuotaFor(ResourceVector.NONE)) {
      return false;
    }
    ResourceVector perTask = pending.job().shape().perTask();
    CapacityIndex free = state.fleet().free();
    int[] distinct = Arrays.stream(pending.workers()).distinct().toArray();
    for (int worker : distinct) {
      // Resources reserved for this and other pending placements are not part of the free capacity,
      // so they are added back.
      long cores = free.cores(worker);
      long memory = free.memoryMegabytes(worker);
      long accelerators = free.accelerators(worker);
      for (PendingPlacement other : state.pendingPlacements().values()) {
        int tasks = other.tasksOn(worker);
        ResourceVector otherPerTask = other.job().shape().perTask();
        cores += (long) tasks * otherPerTask.cores();
        memory += (long) tasks * otherPerTask.memoryMegabytes();
        accelerators += (long) tasks * otherPerTask.accelerators();
      }
      int tasks = pending.tasksOn(worker);
      if (cores < (long) tasks * perTask.cores()
          || memory < (long) tasks * perTask.memoryMegabytes()
          || accelerators < (long) tasks * perTask.accelerators()) {
        return false;
      }
    }
    return true;
  }

  /** Cancels a pending placement and queues the job again if {@code requeue} is set. */
  void cancel(PendingPlacement pending, boolean requeue) {
    state.release(pending);
    GuaranteeState guarantee = pending.guarantee();
    if (guarantee != null) {
      guarantee.setHolderJobId(null);
      for (int worker : pending.workers()) {
        plan.unassignInfeasible(worker);
      }
    }
    if (requeue) {
      starter.enqueue(pending.job());
    }
    state.incrementVersion();
  }

  /** Cancels and requeues the pending placements on a worker that has become unusable. */
  void cancelOn(int worker) {
    for (PendingPlacement pending : List.copyOf(state.pendingPlacements().values())) {
      if (pending.tasksOn(worker) > 0) {
        cancel(pending, true);
      }
    }
  }
}
