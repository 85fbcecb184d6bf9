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

/** Makes room for jobs by preemption and starts them once their victims have ended. */
final class PreemptivePlacer {

  /** How many places are found and ordered by what they lack. */
  private static final int MOST_PLACES = 48;

  /** For how many places victims are chosen and priced. */
  private static final int PRICED_PLACES = 8;

  /** A place with the victims that make room there. */
  private static final class Priced {
    private final int[] workers;
    private final Selection selection;

    Priced(int[] workers, Selection selection) {
      this.workers = workers;
      this.selection = selection;
    }
  }

  private final ClusterState state;
  private final GuaranteePlan plan;
  private final PlacementSearch search;
  private final VictimSelector victims;
  private final GangStarter starter;

  PreemptivePlacer(
      ClusterState state, GuaranteePlan plan, PreemptionPolicy policy, GangStarter starter) {
    this.state = state;
    this.plan = plan;
    this.search = new PlacementSearch(state.fleet());
    this.victims = new VictimSelector(state, policy);
    this.starter = starter;
  }

  VictimSelector victims() {
    return victims;
  }

  /** Reclaims a guarantee for a job by preempting the cheapest victims. */
  boolean reclaim(
      JobRequest job,
      GuaranteeState slot,
      IntPredicate allowed,
      long nowMillis,
      List<Decision> decisions) {
    int[] own = slot.plan();
    if (own == null) {
      return false;
    }
    Fleet fleet = state.fleet();
    plan.unassign(slot);
    PlacementQuery demand =
        new PlacementQuery(
            slot.shape().tasks(),
            slot.shape().adjacency(),
            fleet.open(),
            job.shape().perTask(),
            new PlacementQuery.Limit(fleet.reclaimable(), slot.shape().perTask()),
            allowed);
    List<int[]> places = search.find(demand, MOST_PLACES);
    Priced best = cheapest(job, places, own, gang -> true, nowMillis);
    if (best == null && cancelUnguaranteed(own)) {
      best = cheapest(job, List.of(), own, gang -> true, nowMillis);
    }
    if (best == null) {
      plan.assign(slot, own);
      return false;
    }
    plan.assign(slot, best.workers);
    slot.setHolder(job.jobId());
    String reason = "Preempted to return the guaranteed shape of team " + job.team() + ".";
    enter(job, best, slot, reason, decisions);
    return true;
  }

  /** Makes room for an urgent job by preempting batch work that uses no guarantee. */
  boolean makeRoom(JobRequest job, IntPredicate allowed, long nowMillis, List<Decision> decisions) {
    Fleet fleet = state.fleet();
    GangShape shape = job.shape();
    PlacementQuery.Limit limit =
        job.preemptible() ? null : new PlacementQuery.Limit(fleet.reclaimable(), shape.perTask());
    PlacementQuery demand =
        new PlacementQuery(
            shape.tasks(), shape.adjacency(), fleet.open(), shape.perTask(), limit, allowed);
    List<int[]> places = search.find(demand, MOST_PLACES);
    Priced best = cheapest(job, places, null, gang -> !gang.job().urgent(), nowMillis);
    if (best == null) {
      return false;
    }
    enter(job, best, null, "Preempted to start urgent work of team " + job.team() + ".", decisions);
    return true;
  }

  /** Takes a reserved place by preempting the gangs that were backfilled there and overrun. */
  boolean takeReserved(
      JobRequest job,
      BackfillReservations.BackfillReservation kept,
      long nowMillis,
      List<Decision> decisions) {
    Fleet fleet = state.fleet();
    Set<Integer> members = Set.copyOf(Arrays.stream(kept.workers()).boxed().toList());
    GangShape shape = job.shape();
    PlacementQuery.Limit limit =
        job.preemptible() ? null : new PlacementQuery.Limit(fleet.reclaimable(), shape.perTask());
    PlacementQuery demand =
        new PlacementQuery(
            shape.tasks(),
            shape.adjacency(),
            fleet.open(),
            shape.perTask(),
            limit,
            members::contains);
    Priced best = cheapest(job, search.find(demand, 4), null, kept::isBackfilled, nowMillis);
    if (best == null || best.selection.victims().isEmpty()) {
      return false;
    }
    String reason =
        "Preempted because it ran longer than jobs of its kind do, on workers kept for a job of"
            + " team "
            + job.team()
            + ".";
    enter(job, best, null, reason, decisions);
    return true;
  }

  private void enter(
      JobRequest job,
      Priced place,
      @Nullable GuaranteeState slot,
      String reason,
      List<Decision> decisions) {
    state.waiting().remove(job.jobId());
    List<String> stopped = new ArrayList<>();
    for (Gang victim : place.selection.victims()) {
      victim.stop();
      stopped.add(victim.job().jobId());
      decisions.add(new Decision.Preempt(victim.job().jobId(), job.jobId(), reason));
    }
    state.reserve(new PendingPlacement(job, place.workers, slot, stopped));
  }

  private @Nullable Priced cheapest(
      JobRequest job,
      List<int[]> places,
      int @Nullable [] own,
      Predicate<Gang> eligible,
      long nowMillis) {
    List<int[]> ordered = new ArrayList<>(places);
    ordered.sort(Comparator.comparingInt(workers -> lacking(workers, job)));
    List<int[]> priced =
        new ArrayList<>(ordered.subList(0, Math.min(PRICED_PLACES, ordered.size())));
    if (own != null) {
      priced.add(own);
    }
    Priced best = null;
    for (int[] workers : priced) {
      Selection selection = victims.select(job, workers, eligible, Set.of(), nowMillis);
      if (selection != null && (best == null || selection.cost() < best.selection.cost())) {
        best = new Priced(workers, selection);
      }
    }
    return best;
  }

  private int lacking(int[] workers, JobRequest job) {
    int perTask = Math.max(1, job.shape().perTask().accelerators());
    int sum = 0;
    int i = 0;
    while (i < workers.length) {
      int worker = workers[i];
      int tasks = 0;
      for (; i < workers.length && workers[i] == worker; i++) {
        tasks++;
      }
      sum += Math.max(0, tasks * perTask - state.fleet().free().accelerators(worker));
    }
    return sum;
  }

  /** Ends claims of preemptible jobs without a guarantee that stand in a guarantee's way. */
  private boolean cancelUnguaranteed(int[] workers) {
    boolean cancelled = false;
    for (PendingPlacement claim : List.copyOf(state.claims().values())) {
      boolean overlaps = Arrays.stream(workers).anyMatch(worker -> claim.tasksOn(worker) > 0);
      if (claim.slot() == null && claim.job().preemptible() && overlaps) {
        cancel(claim, true);
        cancelled = true;
      }
    }
    return cancelled;
  }

  /** Starts the jobs whose place is free by now. */
  void startReady(long nowMillis, List<Decision> decisions) {
    for (PendingPlacement claim : List.copyOf(state.claims().values())) {
      if (isReady(claim)) {
        state.unreserve(claim);
        starter.start(claim.job(), claim.workers(), claim.slot(), nowMillis, decisions);
        state.changed();
      }
    }
  }

  private boolean isReady(PendingPlacement claim) {
    TeamState team = state.team(claim.job().team());
    if (!team.hasQuotaFor(ResourceVector.NONE)) {
      return false;
    }
    ResourceVector perTask = claim.job().shape().perTask();
    CapacityIndex free = state.fleet().free();
    int[] distinct = Arrays.stream(claim.workers()).distinct().toArray();
    for (int worker : distinct) {
      // What is reserved here, for this claim and others, counts as taken in the free capacity.
      long cores = free.cores(worker);
      long memory = free.memoryMegabytes(worker);
      long accelerators = free.accelerators(worker);
      for (PendingPlacement other : state.claims().values()) {
        int tasks = other.tasksOn(worker);
        ResourceVector reserved = other.job().shape().perTask();
        cores += (long) tasks * reserved.cores();
        memory += (long) tasks * reserved.memoryMegabytes();
        accelerators += (long) tasks * reserved.accelerators();
      }
      int tasks = claim.tasksOn(worker);
      if (cores < (long) tasks * perTask.cores()
          || memory < (long) tasks * perTask.memoryMegabytes()
          || accelerators < (long) tasks * perTask.accelerators()) {
        return false;
      }
    }
    return true;
  }

  /** Ends a claim; the job waits again if {@code requeue} is set. */
  void cancel(PendingPlacement claim, boolean requeue) {
    state.unreserve(claim);
    GuaranteeState slot = claim.slot();
    if (slot != null) {
      slot.setHolder(null);
      for (int worker : claim.workers()) {
        plan.dropBroken(worker);
      }
    }
    if (requeue) {
      starter.requeue(claim.job());
    }
    state.changed();
  }

  /** Ends the claims on a worker that cannot be used any more. */
  void cancelOn(int worker) {
    for (PendingPlacement claim : List.copyOf(state.claims().values())) {
      if (claim.tasksOn(worker) > 0) {
        cancel(claim, true);
      }
    }
  }
}
