package org.hickoryspar.kernel.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.IntPredicate;
import org.jspecify.annotations.Nullable;

/** Tries to start one waiting job: under a guarantee, on free capacity, or by preemption. */
final class Placer {

  /** Maximum number of placements that the placement policy compares. */
  private static final int MAX_COMPARED_PLACEMENTS = 16;

  /** Maximum number of placements for which guarantees are replanned. */
  private static final int MAX_REPLANNED_PLACEMENTS = 4;

  private static final int MAX_TRACKED_SHAPES = 8;

  /** Identifies jobs for which an attempt has the same result in an unchanged cluster. */
  private record AttemptKey(
      GangShape shape, boolean preemptible, boolean urgent, long reservationKey) {}

  private final ClusterState state;
  private final GuaranteePlan plan;
  private final GuaranteePlanner guaranteePlanner;
  private final PreemptivePlacer preemptivePlacer;
  private final GangStarter starter;
  private final Restrictions restrictions;
  private final PlacementSearch search;
  private final Set<AttemptKey> failedAttempts = new HashSet<>();
  private final Map<GangShape, Boolean> exceedsFreeCapacityByShape = new HashMap<>();
  private long failedVersion = -1;
  private PlacementPolicy policy = new PlacementPolicy.Fragmentation();
  private @Nullable List<GangShape> trackedShapes;

  Placer(
      ClusterState state,
      GuaranteePlan plan,
      GuaranteePlanner guaranteePlanner,
      PreemptivePlacer preemptivePlacer,
      GangStarter starter,
      Restrictions restrictions) {
    this.state = state;
    this.plan = plan;
    this.guaranteePlanner = guaranteePlanner;
    this.preemptivePlacer = preemptivePlacer;
    this.starter = starter;
    this.restrictions = restrictions;
    this.search = new PlacementSearch(state.fleet());
  }

  void setPolicy(PlacementPolicy policy) {
    this.policy = policy;
  }

  /** Discards the tracked shapes and, if the cluster has changed, the failed attempts. */
  void beginRound() {
    trackedShapes = null;
    if (failedVersion != state.version()) {
      failedAttempts.clear();
      exceedsFreeCapacityByShape.clear();
      failedVersion = state.version();
    }
  }

  /** Starts a job or reserves resources for it; returns whether either was done. */
  boolean tryStart(
      JobRequest job, EquivalenceClass.Key key, long nowMillis, List<Decision> decisions) {
    TeamState team = state.team(job.team());
    if (team.policy() == null) {
      return false;
    }
    ResourceVector total = job.shape().perTask().times(job.shape().tasks());
    boolean hasQuota = team.hasQuotaFor(total);
    GuaranteeState guarantee = idleGuarantee(job);
    if (guarantee != null) {
      if (hasQuota && startUnderGuarantee(guarantee, job, nowMillis, decisions)) {
        return true;
      }
      if (preemptivePlacer.reclaimGuarantee(
          job, guarantee, restrictions.forGuaranteed(job), nowMillis, decisions)) {
        return true;
      }
    }
    if (guarantee == null && job.urgent() && !hasQuota) {
      return preemptHolder(job, nowMillis, decisions);
    }
    if (!hasQuota || !(job.preemptible() || team.hasQuotaForCommitted(total))) {
      return false;
    }
    if (restrictions.mayProbe(job) && startProbe(job, nowMillis, decisions)) {
      return true;
    }
    long reservationKey = restrictions.reservationKey(job, key);
    AttemptKey attempt =
        new AttemptKey(job.shape(), job.preemptible(), job.urgent(), reservationKey);
    if (failedAttempts.contains(attempt)) {
      return job.urgent() && guarantee == null && preemptHolder(job, nowMillis, decisions);
    }
    if (!job.urgent() && exceedsFreeCapacity(job.shape())) {
      return false;
    }
    IntPredicate allowed = restrictions.forUnguaranteed(job, key, nowMillis);
    int[] workers = findUnguaranteed(job, allowed);
    if (workers == null && restrictions.hasAvoidedWorkers(job)) {
      // A worker on which the job failed is better than no worker.
      workers =
          findUnguaranteed(job, restrictions.forUnguaranteedIgnoringFailures(job, key, nowMillis));
    }
    if (workers != null) {
      starter.start(job, workers, null, nowMillis, decisions);
      return true;
    }
    if (job.urgent()
        && preemptivePlacer.preemptBatch(
            job, allowedForUrgent(job, allowed), nowMillis, decisions)) {
      return true;
    }
    failedAttempts.add(attempt);
    return false;
  }

  /** Returns whether the free capacity cannot hold a shape, regardless of restrictions. */
  private boolean exceedsFreeCapacity(GangShape shape) {
    Boolean exceeds = exceedsFreeCapacityByShape.get(shape);
    if (exceeds == null || !exceeds) {
      exceeds = search.find(PlacementQuery.of(shape, state.fleet().free()), 1).isEmpty();
      exceedsFreeCapacityByShape.put(shape, exceeds);
    }
    return exceeds;
  }

  private boolean preemptHolder(JobRequest job, long nowMillis, List<Decision> decisions) {
    GuaranteeState released = guaranteePlanner.preemptHolder(job, decisions);
    return released != null
        && preemptivePlacer.reclaimGuarantee(
            job, released, restrictions.forGuaranteed(job), nowMillis, decisions);
  }

  private IntPredicate allowedForUrgent(JobRequest job, IntPredicate allowed) {
    return job.preemptible()
        ? allowed
        : worker -> allowed.test(worker) && !guaranteePlanner.isProtected(worker);
  }

  /** Returns the assigned idle guarantee that matches the job with the least excess, or null. */
  @Nullable GuaranteeState idleGuarantee(JobRequest job) {
    GuaranteeState best = null;
    for (GuaranteeState guarantee : plan.guaranteesOf(job.team())) {
      if (guarantee.isIdle()
          && guarantee.plannedWorkers() != null
          && guarantee.matches(job)
          && (best == null || guarantee.excess(job) < best.excess(job))) {
        best = guarantee;
      }
    }
    return best;
  }

  private boolean startUnderGuarantee(
      GuaranteeState guarantee, JobRequest job, long nowMillis, List<Decision> decisions) {
    int[] previousWorkers = guarantee.plannedWorkers();
    if (previousWorkers == null) {
      return false;
    }
    plan.unassign(guarantee);
    ResourceVector committedPerTask = guarantee.shape().perTask();
    IntPredicate allowed = restrictions.forGuaranteed(job);
    GangShape shape =
        new GangShape(
            guarantee.shape().tasks(), job.shape().perTask(), guarantee.shape().adjacency());
    int[] workers = findUncommitted(shape, committedPerTask, allowed);
    if (workers == null) {
      plan.assign(guarantee, previousWorkers);
      return false;
    }
    plan.assign(guarantee, workers);
    starter.start(job, workers, guarantee, nowMillis, decisions);
    return true;
  }

  private int @Nullable [] findUnguaranteed(JobRequest job, IntPredicate allowed) {
    GangShape shape = job.shape();
    if (job.preemptible()) {
      CapacityIndex free = state.fleet().free();
      return cheapest(
          shape,
          search.find(
              new PlacementQuery(
                  shape.tasks(), shape.adjacency(), free, shape.perTask(), null, allowed),
              MAX_COMPARED_PLACEMENTS));
    }
    return findUncommitted(
        shape,
        shape.perTask(),
        worker -> allowed.test(worker) && !guaranteePlanner.isProtected(worker));
  }

  /** Finds a placement that is free and uncommitted, replanning idle guarantees if needed. */
  private int @Nullable [] findUncommitted(
      GangShape shape, ResourceVector committedPerTask, IntPredicate allowed) {
    Fleet fleet = state.fleet();
    PlacementQuery query =
        new PlacementQuery(
            shape.tasks(),
            shape.adjacency(),
            fleet.free(),
            shape.perTask(),
            new PlacementQuery.Limit(fleet.uncommitted(), committedPerTask),
            allowed);
    int[] workers = cheapest(shape, search.find(query, MAX_COMPARED_PLACEMENTS));
    if (workers != null) {
      return workers;
    }
    PlacementQuery replanningQuery =
        new PlacementQuery(
            shape.tasks(),
            shape.adjacency(),
            fleet.free(),
            shape.perTask(),
            null,
            worker -> fleet.uncommitted().isUsable(worker) && allowed.test(worker));
    for (int[] placement : search.find(replanningQuery, MAX_REPLANNED_PLACEMENTS)) {
      if (plan.replanAround(placement, committedPerTask)) {
        return placement;
      }
    }
    return null;
  }

  private boolean startProbe(JobRequest job, long nowMillis, List<Decision> decisions) {
    GangShape shape = job.shape();
    PlacementQuery query =
        new PlacementQuery(
            shape.tasks(),
            Adjacency.WORKER,
            state.fleet().free(),
            shape.perTask(),
            null,
            restrictions::isAwaitingProbe);
    List<int[]> placements = search.find(query, 1);
    if (placements.isEmpty()) {
      return false;
    }
    starter.start(job, placements.get(0), null, nowMillis, decisions);
    return true;
  }

  private int @Nullable [] cheapest(GangShape shape, List<int[]> placements) {
    if (placements.size() <= 1) {
      return placements.isEmpty() ? null : placements.get(0);
    }
    int[] cheapest = null;
    double lowestCost = 0;
    for (int[] placement : placements) {
      double cost =
          policy.cost(new IndexedCandidate(state.fleet(), shape, placement, trackedShapes()));
      if (cheapest == null || cost < lowestCost) {
        cheapest = placement;
        lowestCost = cost;
      }
    }
    return cheapest;
  }

  /**
   * Returns the largest guaranteed and waiting shapes, in descending order. Shapes with fewer than
   * two accelerators are excluded, because they fit anywhere.
   */
  private List<GangShape> trackedShapes() {
    List<GangShape> shapes = trackedShapes;
    if (shapes == null) {
      Set<GangShape> distinctShapes = new LinkedHashSet<>();
      plan.guarantees().forEach(guarantee -> distinctShapes.add(guarantee.shape()));
      state
          .waiting()
          .byTeam(false)
          .values()
          .forEach(
              classes ->
                  classes.forEach(
                      equivalenceClass -> distinctShapes.add(equivalenceClass.key().shape())));
      shapes = new ArrayList<>(distinctShapes);
      shapes.removeIf(shape -> accelerators(shape) < 2);
      shapes.sort(Comparator.comparingInt(shape -> -accelerators(shape)));
      shapes = List.copyOf(shapes.subList(0, Math.min(MAX_TRACKED_SHAPES, shapes.size())));
      trackedShapes = shapes;
    }
    return shapes;
  }

  private static int accelerators(GangShape shape) {
    return shape.tasks() * shape.perTask().accelerators();
  }

  /** Restricts the workers of a job by failures, ramps and reservations, not by capacity. */
  static final class Restrictions {

    private final Fleet fleet;
    private final FailureTracker failures;
    private final DataCentreRamp ramp;
    private final BackfillReservations reservations;
    private final RunTimeEstimator estimator;

    Restrictions(
        Fleet fleet,
        FailureTracker failures,
        DataCentreRamp ramp,
        BackfillReservations reservations,
        RunTimeEstimator estimator) {
      this.fleet = fleet;
      this.failures = failures;
      this.ramp = ramp;
      this.reservations = reservations;
      this.estimator = estimator;
    }

    boolean isAwaitingProbe(int worker) {
      return failures.isAwaitingProbe(fleet.workerId(worker));
    }

    /** Returns whether a job may probe a worker on which other jobs failed. */
    boolean mayProbe(JobRequest job) {
      GangShape shape = job.shape();
      return failures.hasAwaitingProbe()
          && !job.urgent()
          && (shape.tasks() == 1 || shape.adjacency() == Adjacency.WORKER)
          && !failures.hasFailed(job.jobId());
    }

    /** Accepts workers regardless of ramps and reservations, as a guarantee takes precedence. */
    IntPredicate forGuaranteed(JobRequest job) {
      return worker -> !isAwaitingProbe(worker) && !isAvoided(job, worker);
    }

    IntPredicate forUnguaranteed(JobRequest job, EquivalenceClass.Key key, long nowMillis) {
      IntPredicate ignoringFailures = forUnguaranteedIgnoringFailures(job, key, nowMillis);
      return hasAvoidedWorkers(job)
          ? worker -> ignoringFailures.test(worker) && !isAvoided(job, worker)
          : ignoringFailures;
    }

    IntPredicate forUnguaranteedIgnoringFailures(
        JobRequest job, EquivalenceClass.Key key, long nowMillis) {
      if (job.urgent() || areInactive()) {
        return worker -> !isAwaitingProbe(worker);
      }
      OptionalLong estimate = estimator.estimateMillis(job);
      return worker ->
          !isAwaitingProbe(worker)
              && ramp.allowsStart(fleet.dataCentreOfRack(fleet.rackOf(worker)))
              && reservations.allowsStart(worker, key, estimate, nowMillis);
    }

    /** Returns a number that is equal for jobs with the same access to reserved workers. */
    long reservationKey(JobRequest job, EquivalenceClass.Key key) {
      if (job.urgent() || reservations.isEmpty()) {
        return 0;
      }
      long estimateMillis = estimator.estimateMillis(job).orElse(-1);
      return reservations.get(key) == null ? estimateMillis : -2 - reservations.idOf(key);
    }

    boolean hasAvoidedWorkers(JobRequest job) {
      return !failures.avoidedWorkers(job.jobId()).isEmpty();
    }

    /** Returns whether ramps and reservations restrict no job. */
    boolean areInactive() {
      return reservations.isEmpty() && !ramp.isActive();
    }

    private boolean isAvoided(JobRequest job, int worker) {
      Set<String> avoided = failures.avoidedWorkers(job.jobId());
      return !avoided.isEmpty() && avoided.contains(fleet.workerId(worker));
    }
  }
}
