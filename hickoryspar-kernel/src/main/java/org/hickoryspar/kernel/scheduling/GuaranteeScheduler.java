package org.hickoryspar.kernel.scheduling;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import org.hickoryspar.kernel.value.Result;

/**
 * Places whole gangs within the quotas of their teams, such that the guaranteed shapes of all teams
 * can be formed at the same time.
 *
 * <p>The algorithm is described in {@code docs/scheduling.md}.
 */
public final class GuaranteeScheduler implements Scheduler {

  private static final WorkerState NO_WORKER =
      new WorkerState("", "", "", ResourceVector.NONE, false);

  private final ClusterState state = new ClusterState();
  private final GuaranteePlan plan = new GuaranteePlan(state.fleet());
  private final FailureTracker failures = new FailureTracker();
  private final DataCentreRamp ramp = new DataCentreRamp();
  private final FeasibilityCheck feasibilityCheck = new FeasibilityCheck(state);
  private final TreeMap<String, PlacementPolicy> placementPolicies = Policies.placementPolicies();
  private final RunTimeEstimator estimator;
  private final BackfillReservations reservations;
  private final GangStarter starter;
  private final PreemptivePlacer preemptivePlacer;
  private final GuaranteePlanner guaranteePlanner;
  private final Placer placer;
  private final QueueRound queueRound;
  private final GuaranteeReporter reporter;
  private final Explainer explainer;
  private final Set<String> uncheckedJobs = new LinkedHashSet<>();
  private final Set<String> interruptedJobs = new HashSet<>();
  private List<TeamPolicy> teams = List.of();
  private boolean guaranteesOutdated;
  private long nowMillis;

  /**
   * Creates a scheduler without workers, jobs or configuration.
   *
   * @param policies the policies that are fixed for the life of the scheduler; the placement policy
   *     is chosen by the configuration
   */
  public GuaranteeScheduler(Policies policies) {
    requireNonNull(policies, "policies is null");
    estimator = policies.estimator();
    reservations = new BackfillReservations(state, estimator);
    starter = new GangStarter(state, failures, ramp, reservations, this::refreshUsability);
    preemptivePlacer = new PreemptivePlacer(state, plan, policies.preemption(), starter);
    guaranteePlanner = new GuaranteePlanner(state, plan, policies.preemption());
    Placer.Restrictions restrictions =
        new Placer.Restrictions(state.fleet(), failures, ramp, reservations, estimator);
    placer = new Placer(state, plan, guaranteePlanner, preemptivePlacer, starter, restrictions);
    queueRound = new QueueRound(state, policies.queue());
    reporter = new GuaranteeReporter(state, plan, preemptivePlacer.victimSelector());
    explainer = new Explainer(state, plan, reservations, ramp);
  }

  @Override
  public Result<Long> check(SchedulingConfig config) {
    return reporter.check(requireNonNull(config, "config is null"), placementPolicies.keySet());
  }

  @Override
  public void configure(SchedulingConfig config) {
    requireNonNull(config, "config is null");
    Fleet fleet = state.fleet();
    fleet.setOutOfService(config.dataCentresOut(), config.workersOut());
    for (int worker = 0; worker < fleet.workerNumberLimit(); worker++) {
      refreshUsability(worker);
    }
    placer.setPolicy(
        placementPolicies.getOrDefault(
            config.placementPolicy(), new PlacementPolicy.Fragmentation()));
    boolean sameGuarantees = guaranteesByTeam(config.teams()).equals(guaranteesByTeam(teams));
    teams = config.teams();
    state.teams().values().forEach(team -> team.setPolicy(null));
    config.teams().forEach(policy -> state.team(policy.team()).setPolicy(policy));
    if (!sameGuarantees) {
      defineGuarantees();
    }
    state.incrementVersion();
  }

  private static Map<String, List<GangShape>> guaranteesByTeam(List<TeamPolicy> policies) {
    Map<String, List<GangShape>> shapes = new HashMap<>();
    policies.forEach(policy -> shapes.put(policy.team(), policy.guarantees()));
    return shapes;
  }

  private void defineGuarantees() {
    for (PendingPlacement pending : List.copyOf(state.pendingPlacements().values())) {
      if (pending.guarantee() != null) {
        preemptivePlacer.cancel(pending, true);
      }
    }
    guaranteePlanner.define(teams);
    guaranteesOutdated = false;
  }

  @Override
  public void workerChanged(WorkerState worker) {
    requireNonNull(worker, "worker is null");
    Integer existing = state.fleet().find(worker.workerId());
    WorkerState previous = existing == null ? null : state.fleet().state(existing);
    if (worker.equals(previous)) {
      return;
    }
    boolean rackOrCapacityChanged =
        previous != null
            && !(previous.rack().equals(worker.rack())
                && previous.dataCentre().equals(worker.dataCentre())
                && previous.capacity().equals(worker.capacity()));
    if (existing != null && rackOrCapacityChanged) {
      setUsability(existing, false, false);
    }
    int number = state.fleet().put(worker);
    if (previous == null || rackOrCapacityChanged) {
      feasibilityCheck.invalidate();
      state.incrementVersion();
    }
    refreshUsability(number);
  }

  @Override
  public void workerRemoved(String workerId) {
    Integer number = state.fleet().find(requireNonNull(workerId, "workerId is null"));
    if (number != null && state.fleet().state(number) != null) {
      setUsability(number, false, false);
      state.fleet().remove(number);
      feasibilityCheck.invalidate();
    }
  }

  @Override
  public void jobQueued(JobRequest job) {
    requireNonNull(job, "job is null");
    String jobId = job.jobId();
    boolean known =
        state.waiting().get(jobId) != null
            || state.gangs().containsKey(jobId)
            || state.pendingPlacements().containsKey(jobId);
    if (!known) {
      starter.enqueue(job);
      uncheckedJobs.add(jobId);
    }
  }

  @Override
  public void jobRemoved(String jobId) {
    requireNonNull(jobId, "jobId is null");
    PendingPlacement pending = state.pendingPlacements().get(jobId);
    if (pending != null) {
      preemptivePlacer.cancel(pending, false);
    }
    if (state.waiting().remove(jobId) || pending != null) {
      removeRecords(jobId);
    }
  }

  @Override
  public void gangRecovered(RunningGang running) {
    requireNonNull(running, "running is null");
    String jobId = running.job().jobId();
    state.waiting().remove(jobId);
    if (state.gangs().containsKey(jobId)) {
      return;
    }
    int[] workers = running.workers().stream().mapToInt(state.fleet()::findOrAllocate).toArray();
    Gang gang =
        new Gang(running.job(), workers, running.startedMillis(), running.checkpointMillis());
    if (running.stopping()) {
      gang.markStopping();
    }
    state.addGang(gang);
    // Gangs are bound to guarantees once all gangs and workers are known.
    guaranteesOutdated = true;
    for (int worker : workers) {
      plan.unassignInfeasible(worker);
    }
    state.incrementVersion();
  }

  @Override
  public void gangCheckpointed(String jobId, long checkpointMillis) {
    Gang gang = state.gangs().get(requireNonNull(jobId, "jobId is null"));
    if (gang != null) {
      gang.recordCheckpoint(checkpointMillis);
    }
  }

  @Override
  public void gangEnded(
      String jobId, EndReason reason, List<String> faultyWorkers, long endedMillis) {
    requireNonNull(reason, "reason is null");
    Gang gang = state.gangs().get(requireNonNull(jobId, "jobId is null"));
    if (gang == null) {
      return;
    }
    List<String> workerIds = state.fleet().workerIds(gang.workers()).stream().distinct().toList();
    state.removeGang(jobId);
    guaranteePlanner.release(gang);
    reservations.gangEnded(jobId);
    failures
        .recordEnd(gang, reason, workerIds, faultyWorkers, endedMillis)
        .forEach(this::refreshUsability);
    if (reason == EndReason.COMPLETED || reason == EndReason.CANCELLED) {
      if (reason == EndReason.COMPLETED && !interruptedJobs.contains(jobId)) {
        estimator.recordCompletion(gang.job(), endedMillis - gang.startedMillis());
      }
      removeRecords(jobId);
    } else {
      interruptedJobs.add(jobId);
      starter.enqueue(gang.job());
      if (reason == EndReason.TASK_FAILED) {
        uncheckedJobs.add(jobId);
      }
    }
  }

  @Override
  public List<Decision> decide(long currentMillis) {
    nowMillis = Math.max(nowMillis, currentMillis);
    List<Decision> decisions = new ArrayList<>();
    failures.advance(nowMillis).forEach(this::refreshUsability);
    if (ramp.advance(nowMillis)) {
      state.incrementVersion();
    }
    if (guaranteesOutdated) {
      defineGuarantees();
    }
    guaranteePlanner.repair(nowMillis, decisions);
    rejectJobs(decisions);
    preemptivePlacer.startReady(nowMillis, decisions);
    reservations.advance(nowMillis);
    for (BackfillReservations.BackfillReservation reservation : reservations.takeDue(nowMillis)) {
      startReserved(reservation, decisions);
    }
    placer.beginRound();
    queueRound.run(true, equivalenceClass -> tryStart(equivalenceClass, decisions));
    boolean reachedLimit =
        queueRound.run(false, equivalenceClass -> tryStart(equivalenceClass, decisions));
    preemptivePlacer.startReady(nowMillis, decisions);
    if (reachedLimit) {
      state.incrementVersion();
    }
    return decisions;
  }

  private boolean tryStart(EquivalenceClass equivalenceClass, List<Decision> decisions) {
    JobRequest job = equivalenceClass.head();
    boolean started = placer.tryStart(job, equivalenceClass.key(), nowMillis, decisions);
    TeamState team = state.team(job.team());
    ResourceVector total = job.shape().perTask().times(job.shape().tasks());
    if (!started && !job.urgent() && team.hasQuotaFor(total)) {
      reservations.reserve(job, equivalenceClass.key(), nowMillis);
    }
    return started;
  }

  private void startReserved(
      BackfillReservations.BackfillReservation reservation, List<Decision> decisions) {
    EquivalenceClass equivalenceClass = state.waiting().classOf(reservation.key());
    if (equivalenceClass == null) {
      return;
    }
    JobRequest job = equivalenceClass.head();
    ResourceVector total = job.shape().perTask().times(job.shape().tasks());
    boolean hasQuota = state.team(job.team()).hasQuotaFor(total);
    boolean mayCommit = job.preemptible() || state.team(job.team()).hasQuotaForCommitted(total);
    if (hasQuota
        && mayCommit
        && preemptivePlacer.preemptBackfilled(job, reservation, nowMillis, decisions)) {
      reservations.remove(reservation.key());
    } else if (reservation.isDue(nowMillis)) {
      reservations.reschedule(reservation, job.shape(), nowMillis);
    }
  }

  private void rejectJobs(List<Decision> decisions) {
    for (String jobId : uncheckedJobs) {
      JobRequest job = state.waiting().get(jobId);
      if (job == null) {
        continue;
      }
      String failureReason = failures.rejectionReason(jobId);
      String reason = failureReason == null ? feasibilityCheck.rejectionReason(job) : failureReason;
      if (reason != null) {
        state.waiting().remove(jobId);
        failures.recordRejection(jobId);
        interruptedJobs.remove(jobId);
        decisions.add(new Decision.Reject(jobId, reason));
      }
    }
    uncheckedJobs.clear();
  }

  @Override
  public String explain(String jobId, long currentMillis) {
    return explainer.explain(requireNonNull(jobId, "jobId is null"));
  }

  @Override
  public List<GuaranteeReport> guarantees() {
    if (guaranteesOutdated) {
      defineGuarantees();
    }
    guaranteePlanner.repairPlan(nowMillis);
    return reporter.reports(nowMillis);
  }

  @Override
  public List<String> isolatedWorkers() {
    return failures.isolatedWorkers();
  }

  private void removeRecords(String jobId) {
    failures.removeJob(jobId);
    interruptedJobs.remove(jobId);
    uncheckedJobs.remove(jobId);
  }

  private void refreshUsability(String workerId) {
    Integer number = state.fleet().find(workerId);
    if (number == null) {
      failures.removeWorker(workerId);
    } else {
      refreshUsability((int) number);
    }
  }

  private void refreshUsability(int worker) {
    Fleet fleet = state.fleet();
    String workerId = fleet.workerId(worker);
    boolean usable = fleet.isInService(worker) && !failures.isExcluded(workerId);
    setUsability(worker, usable, usable && !failures.isAwaitingProbe(workerId));
  }

  private void setUsability(int worker, boolean usable, boolean reliable) {
    Fleet fleet = state.fleet();
    WorkerState workerState = Objects.requireNonNullElse(fleet.state(worker), NO_WORKER);
    boolean wasUsable = fleet.free().isUsable(worker);
    boolean wasReliable = fleet.uncommitted().isUsable(worker);
    fleet.setUsable(worker, usable, reliable);
    if (usable != wasUsable) {
      ramp.workerUsabilityChanged(
          workerState.dataCentre(), workerState.capacity().accelerators(), usable);
    }
    if (wasReliable && !reliable) {
      preemptivePlacer.cancelOn(worker);
      reservations.removeOn(worker);
    }
    plan.unassignInfeasible(worker);
    if (reliable && !wasReliable) {
      guaranteePlanner.resetRepairDelay();
    }
    if (usable != wasUsable || reliable != wasReliable) {
      state.incrementVersion();
    }
  }
}
