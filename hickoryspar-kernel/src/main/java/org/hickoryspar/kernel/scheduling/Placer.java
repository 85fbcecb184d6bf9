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

  /** How many places the placement policy compares. */
  private static final int COMPARED_PLACES = 16;

  /** For how many places it is tried to plan guarantees elsewhere. */
  private static final int DISPLACED_PLACES = 4;

  private static final int MOST_TRACKED_SHAPES = 8;

  /** Jobs for which an attempt has the same result; {@code kept} unless all jobs are equal. */
  private record AttemptKey(GangShape shape, boolean preemptible, boolean urgent, long kept) {}

  private final ClusterState state;
  private final GuaranteePlan plan;
  private final GuaranteePlanner keeper;
  private final PreemptivePlacer claims;
  private final GangStarter starter;
  private final Restrictions restrictions;
  private final PlacementSearch search;
  private final Set<AttemptKey> failed = new HashSet<>();
  private final Map<GangShape, Boolean> full = new HashMap<>();
  private long failedVersion = -1;
  private PlacementPolicy policy = new PlacementPolicy.Fragmentation();
  private @Nullable List<GangShape> tracked;

  Placer(
      ClusterState state,
      GuaranteePlan plan,
      GuaranteePlanner keeper,
      PreemptivePlacer claims,
      GangStarter starter,
      Restrictions restrictions) {
    this.state = state;
    this.plan = plan;
    this.keeper = keeper;
    this.claims = claims;
    this.starter = starter;
    this.restrictions = restrictions;
    this.search = new PlacementSearch(state.fleet());
  }

  void setPolicy(PlacementPolicy policy) {
    this.policy = policy;
  }

  /** Prepares a round of attempts. */
  void begin() {
    tracked = null;
    if (failedVersion != state.version()) {
      failed.clear();
      full.clear();
      failedVersion = state.version();
    }
  }

  /** Returns whether the job was started or a place was reserved for it. */
  boolean tryStart(
      JobRequest job, EquivalenceClass.Key key, long nowMillis, List<Decision> decisions) {
    TeamState team = state.team(job.team());
    if (team.policy() == null) {
      return false;
    }
    ResourceVector total = job.shape().perTask().times(job.shape().tasks());
    boolean quota = team.hasQuotaFor(total);
    GuaranteeState slot = idleSlot(job);
    if (slot != null) {
      if (quota && startUnder(slot, job, nowMillis, decisions)) {
        return true;
      }
      if (claims.reclaim(job, slot, restrictions.guaranteed(job), nowMillis, decisions)) {
        return true;
      }
    }
    if (slot == null && job.urgent() && !quota) {
      return takeOver(job, nowMillis, decisions);
    }
    if (!quota || !(job.preemptible() || team.hasQuotaForFixed(total))) {
      return false;
    }
    if (restrictions.mayProbe(job) && startProbe(job, nowMillis, decisions)) {
      return true;
    }
    long kept = restrictions.kept(job, key);
    AttemptKey attempt = new AttemptKey(job.shape(), job.preemptible(), job.urgent(), kept);
    if (failed.contains(attempt)) {
      return job.urgent() && slot == null && takeOver(job, nowMillis, decisions);
    }
    if (!job.urgent() && isFull(job.shape())) {
      return false;
    }
    IntPredicate allowed = restrictions.unguaranteed(job, key, nowMillis);
    int[] workers = findUnguaranteed(job, allowed);
    if (workers == null && restrictions.hasAvoided(job)) {
      // The workers on which the job failed are better than none.
      workers = findUnguaranteed(job, restrictions.withoutAvoided(job, key, nowMillis));
    }
    if (workers != null) {
      starter.start(job, workers, null, nowMillis, decisions);
      return true;
    }
    if (job.urgent() && claims.makeRoom(job, urgentRoom(job, allowed), nowMillis, decisions)) {
      return true;
    }
    failed.add(attempt);
    return false;
  }

  /** Returns whether the free capacity cannot hold a shape, whatever the job. */
  private boolean isFull(GangShape shape) {
    Boolean known = full.get(shape);
    if (known == null || !known) {
      known = search.find(PlacementQuery.of(shape, state.fleet().free()), 1).isEmpty();
      full.put(shape, known);
    }
    return known;
  }

  private boolean takeOver(JobRequest job, long nowMillis, List<Decision> decisions) {
    GuaranteeState taken = keeper.takeOver(job, decisions);
    return taken != null
        && claims.reclaim(job, taken, restrictions.guaranteed(job), nowMillis, decisions);
  }

  private IntPredicate urgentRoom(JobRequest job, IntPredicate allowed) {
    return job.preemptible() ? allowed : worker -> allowed.test(worker) && !keeper.isKept(worker);
  }

  /** Returns the guarantee that the job may take and that exceeds it least, or null. */
  @Nullable GuaranteeState idleSlot(JobRequest job) {
    GuaranteeState best = null;
    for (GuaranteeState slot : plan.slotsOf(job.team())) {
      if (slot.isIdle()
          && slot.plan() != null
          && slot.matches(job)
          && (best == null || slot.excess(job) < best.excess(job))) {
        best = slot;
      }
    }
    return best;
  }

  private boolean startUnder(
      GuaranteeState slot, JobRequest job, long nowMillis, List<Decision> decisions) {
    int[] own = slot.plan();
    if (own == null) {
      return false;
    }
    plan.unassign(slot);
    ResourceVector promised = slot.shape().perTask();
    IntPredicate allowed = restrictions.guaranteed(job);
    GangShape shape =
        new GangShape(slot.shape().tasks(), job.shape().perTask(), slot.shape().adjacency());
    int[] workers = find(shape, promised, allowed);
    if (workers == null) {
      plan.assign(slot, own);
      return false;
    }
    plan.assign(slot, workers);
    starter.start(job, workers, slot, nowMillis, decisions);
    return true;
  }

  private int @Nullable [] findUnguaranteed(JobRequest job, IntPredicate allowed) {
    GangShape shape = job.shape();
    if (job.preemptible()) {
      CapacityIndex free = state.fleet().free();
      return best(
          shape,
          search.find(
              new PlacementQuery(
                  shape.tasks(), shape.adjacency(), free, shape.perTask(), null, allowed),
              COMPARED_PLACES));
    }
    return find(shape, shape.perTask(), worker -> allowed.test(worker) && !keeper.isKept(worker));
  }

  /** Finds free capacity that may be taken for good, planning guarantees elsewhere if needed. */
  private int @Nullable [] find(GangShape shape, ResourceVector promised, IntPredicate allowed) {
    Fleet fleet = state.fleet();
    PlacementQuery demand =
        new PlacementQuery(
            shape.tasks(),
            shape.adjacency(),
            fleet.free(),
            shape.perTask(),
            new PlacementQuery.Limit(fleet.reclaimable(), promised),
            allowed);
    int[] workers = best(shape, search.find(demand, COMPARED_PLACES));
    if (workers != null) {
      return workers;
    }
    PlacementQuery displacing =
        new PlacementQuery(
            shape.tasks(),
            shape.adjacency(),
            fleet.free(),
            shape.perTask(),
            null,
            worker -> fleet.reclaimable().isUsable(worker) && allowed.test(worker));
    for (int[] place : search.find(displacing, DISPLACED_PLACES)) {
      if (plan.displace(place, promised)) {
        return place;
      }
    }
    return null;
  }

  private boolean startProbe(JobRequest job, long nowMillis, List<Decision> decisions) {
    GangShape shape = job.shape();
    PlacementQuery demand =
        new PlacementQuery(
            shape.tasks(),
            Adjacency.WORKER,
            state.fleet().free(),
            shape.perTask(),
            null,
            restrictions::isAwaitingProbe);
    List<int[]> places = search.find(demand, 1);
    if (places.isEmpty()) {
      return false;
    }
    starter.start(job, places.get(0), null, nowMillis, decisions);
    return true;
  }

  private int @Nullable [] best(GangShape shape, List<int[]> places) {
    if (places.size() <= 1) {
      return places.isEmpty() ? null : places.get(0);
    }
    int[] best = null;
    double lowest = 0;
    for (int[] place : places) {
      double cost = policy.cost(new IndexedCandidate(state.fleet(), shape, place, tracked()));
      if (best == null || cost < lowest) {
        best = place;
        lowest = cost;
      }
    }
    return best;
  }

  /** Returns the large shapes that are guaranteed or wait; others always find room. */
  private List<GangShape> tracked() {
    List<GangShape> known = tracked;
    if (known == null) {
      Set<GangShape> shapes = new LinkedHashSet<>();
      plan.slots().forEach(slot -> shapes.add(slot.shape()));
      state
          .waiting()
          .byTeam(false)
          .values()
          .forEach(classes -> classes.forEach(c -> shapes.add(c.key().shape())));
      known = new ArrayList<>(shapes);
      known.removeIf(shape -> accelerators(shape) < 2);
      known.sort(Comparator.comparingInt(shape -> -accelerators(shape)));
      known = List.copyOf(known.subList(0, Math.min(MOST_TRACKED_SHAPES, known.size())));
      tracked = known;
    }
    return known;
  }

  private static int accelerators(GangShape shape) {
    return shape.tasks() * shape.perTask().accelerators();
  }

  /** Which workers a job may use apart from their capacity. */
  static final class Restrictions {

    private final Fleet fleet;
    private final FailureTracker faults;
    private final DataCentreRamp ramp;
    private final BackfillReservations reservations;
    private final RunTimeEstimator estimator;

    Restrictions(
        Fleet fleet,
        FailureTracker faults,
        DataCentreRamp ramp,
        BackfillReservations reservations,
        RunTimeEstimator estimator) {
      this.fleet = fleet;
      this.faults = faults;
      this.ramp = ramp;
      this.reservations = reservations;
      this.estimator = estimator;
    }

    boolean isAwaitingProbe(int worker) {
      return faults.isAwaitingProbe(fleet.name(worker));
    }

    /** Returns whether a job may be the one that probes a worker. */
    boolean mayProbe(JobRequest job) {
      GangShape shape = job.shape();
      return faults.hasAwaitingProbe()
          && !job.urgent()
          && (shape.tasks() == 1 || shape.adjacency() == Adjacency.WORKER)
          && !faults.hasFailed(job.jobId());
    }

    /** A guarantee is honoured even while a data centre is being filled again. */
    IntPredicate guaranteed(JobRequest job) {
      return worker -> !isAwaitingProbe(worker) && !isAvoided(job, worker);
    }

    IntPredicate unguaranteed(JobRequest job, EquivalenceClass.Key key, long nowMillis) {
      IntPredicate others = withoutAvoided(job, key, nowMillis);
      return hasAvoided(job) ? worker -> others.test(worker) && !isAvoided(job, worker) : others;
    }

    IntPredicate withoutAvoided(JobRequest job, EquivalenceClass.Key key, long nowMillis) {
      if (job.urgent() || areEqualForAll()) {
        return worker -> !isAwaitingProbe(worker);
      }
      OptionalLong estimate = estimator.estimateMillis(job);
      return worker ->
          !isAwaitingProbe(worker)
              && ramp.allows(fleet.dataCentreOfRack(fleet.rackOf(worker)))
              && reservations.allows(worker, key, estimate, nowMillis);
    }

    /** Returns a number that is equal for jobs of one shape that may use the same workers. */
    long kept(JobRequest job, EquivalenceClass.Key key) {
      if (job.urgent() || reservations.isEmpty()) {
        return 0;
      }
      long estimateMillis = estimator.estimateMillis(job).orElse(-1);
      return reservations.of(key) == null ? estimateMillis : -2 - reservations.numberOf(key);
    }

    boolean hasAvoided(JobRequest job) {
      return !faults.failedOn(job.jobId()).isEmpty();
    }

    /** Returns whether workers are restricted in the same way for all jobs. */
    boolean areEqualForAll() {
      return reservations.isEmpty() && !ramp.isActive();
    }

    private boolean isAvoided(JobRequest job, int worker) {
      Set<String> avoided = faults.failedOn(job.jobId());
      return !avoided.isEmpty() && avoided.contains(fleet.name(worker));
    }
  }
}
