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
 * Places whole gangs within quotas so that all guarantees of all teams stay formable at once.
 *
 * <p>The method is described in {@code docs/scheduling.md}.
 */
public final class GuaranteeScheduler implements Scheduler {

  private static final WorkerState NO_WORKER =
      new WorkerState("", "", "", ResourceVector.NONE, false);

  private final ClusterState state = new ClusterState();
  private final GuaranteePlan plan = new GuaranteePlan(state.fleet());
  private final FailureTracker faults = new FailureTracker();
  private final DataCentreRamp ramp = new DataCentreRamp();
  private final FeasibilityCheck fitCheck = new FeasibilityCheck(state);
  private final TreeMap<String, PlacementPolicy> placementPolicies = Policies.placements();
  private final RunTimeEstimator estimator;
  private final BackfillReservations reservations;
  private final GangStarter starter;
  private final PreemptivePlacer claims;
  private final GuaranteePlanner keeper;
  private final Placer placer;
  private final QueueRound round;
  private final GuaranteeReporter reports;
  private final Explainer explainer;
  private final Set<String> unchecked = new LinkedHashSet<>();
  private final Set<String> interrupted = new HashSet<>();
  private List<TeamPolicy> teams = List.of();
  private boolean recovered;
  private long nowMillis;

  /**
   * Makes a scheduler without workers, jobs or configuration.
   *
   * @param policies the policies that are not chosen by the configuration
   */
  public GuaranteeScheduler(Policies policies) {
    requireNonNull(policies, "policies is null");
    estimator = policies.estimator();
    reservations = new BackfillReservations(state, estimator);
    starter = new GangStarter(state, faults, ramp, reservations, this::refresh);
    claims = new PreemptivePlacer(state, plan, policies.preemption(), starter);
    keeper = new GuaranteePlanner(state, plan, policies.preemption());
    Placer.Restrictions restrictions =
        new Placer.Restrictions(state.fleet(), faults, ramp, reservations, estimator);
    placer = new Placer(state, plan, keeper, claims, starter, restrictions);
    round = new QueueRound(state, policies.queue());
    reports = new GuaranteeReporter(state, plan, claims.victims());
    explainer = new Explainer(state, plan, reservations, ramp);
  }

  @Override
  public Result<Long> check(SchedulingConfig config) {
    return reports.check(requireNonNull(config, "config is null"), placementPolicies.keySet());
  }

  @Override
  public void configure(SchedulingConfig config) {
    requireNonNull(config, "config is null");
    Fleet fleet = state.fleet();
    fleet.setOut(config.dataCentresOut(), config.workersOut());
    for (int worker = 0; worker < fleet.bound(); worker++) {
      refresh(worker);
    }
    placer.setPolicy(
        placementPolicies.getOrDefault(
            config.placementPolicy(), new PlacementPolicy.Fragmentation()));
    boolean sameGuarantees = guarantees(config.teams()).equals(guarantees(teams));
    teams = config.teams();
    state.teams().values().forEach(team -> team.setPolicy(null));
    config.teams().forEach(policy -> state.team(policy.team()).setPolicy(policy));
    if (!sameGuarantees) {
      defineGuarantees();
    }
    state.changed();
  }

  private static Map<String, List<GangShape>> guarantees(List<TeamPolicy> policies) {
    Map<String, List<GangShape>> shapes = new HashMap<>();
    policies.forEach(policy -> shapes.put(policy.team(), policy.guarantees()));
    return shapes;
  }

  private void defineGuarantees() {
    for (PendingPlacement claim : List.copyOf(state.claims().values())) {
      if (claim.slot() != null) {
        claims.cancel(claim, true);
      }
    }
    keeper.define(teams);
    recovered = false;
  }

  @Override
  public void workerChanged(WorkerState worker) {
    requireNonNull(worker, "worker is null");
    Integer known = state.fleet().find(worker.workerId());
    WorkerState before = known == null ? null : state.fleet().state(known);
    if (worker.equals(before)) {
      return;
    }
    boolean moved =
        before != null
            && !(before.rack().equals(worker.rack())
                && before.dataCentre().equals(worker.dataCentre())
                && before.capacity().equals(worker.capacity()));
    if (known != null && moved) {
      use(known, false, false);
    }
    int number = state.fleet().put(worker);
    if (before == null || moved) {
      fitCheck.workersChanged();
      state.changed();
    }
    refresh(number);
  }

  @Override
  public void workerRemoved(String workerId) {
    Integer number = state.fleet().find(requireNonNull(workerId, "workerId is null"));
    if (number != null && state.fleet().state(number) != null) {
      use(number, false, false);
      state.fleet().remove(number);
      fitCheck.workersChanged();
    }
  }

  @Override
  public void jobQueued(JobRequest job) {
    requireNonNull(job, "job is null");
    String jobId = job.jobId();
    boolean known =
        state.waiting().get(jobId) != null
            || state.gangs().containsKey(jobId)
            || state.claims().containsKey(jobId);
    if (!known) {
      starter.requeue(job);
      unchecked.add(jobId);
    }
  }

  @Override
  public void jobRemoved(String jobId) {
    requireNonNull(jobId, "jobId is null");
    PendingPlacement claim = state.claims().get(jobId);
    if (claim != null) {
      claims.cancel(claim, false);
    }
    if (state.waiting().remove(jobId) || claim != null) {
      forget(jobId);
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
    int[] workers = running.workers().stream().mapToInt(state.fleet()::findOrReserve).toArray();
    Gang gang =
        new Gang(running.job(), workers, running.startedMillis(), running.checkpointMillis());
    if (running.stopping()) {
      gang.stop();
    }
    state.start(gang);
    // Which gang uses which guarantee is decided once all gangs and workers are known.
    recovered = true;
    for (int worker : workers) {
      plan.dropBroken(worker);
    }
    state.changed();
  }

  @Override
  public void gangCheckpointed(String jobId, long checkpointMillis) {
    Gang gang = state.gangs().get(requireNonNull(jobId, "jobId is null"));
    if (gang != null) {
      gang.checkpointed(checkpointMillis);
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
    List<String> placedOn = state.fleet().names(gang.workers()).stream().distinct().toList();
    state.end(jobId);
    keeper.released(gang);
    reservations.ended(jobId);
    faults.ended(gang, reason, placedOn, faultyWorkers, endedMillis).forEach(this::refresh);
    if (reason == EndReason.COMPLETED || reason == EndReason.CANCELLED) {
      if (reason == EndReason.COMPLETED && !interrupted.contains(jobId)) {
        estimator.completed(gang.job(), endedMillis - gang.startedMillis());
      }
      forget(jobId);
    } else {
      interrupted.add(jobId);
      starter.requeue(gang.job());
      if (reason == EndReason.TASK_FAILED) {
        unchecked.add(jobId);
      }
    }
  }

  @Override
  public List<Decision> decide(long now) {
    nowMillis = Math.max(nowMillis, now);
    List<Decision> decisions = new ArrayList<>();
    faults.due(nowMillis).forEach(this::refresh);
    if (ramp.tick(nowMillis)) {
      state.changed();
    }
    if (recovered) {
      defineGuarantees();
    }
    keeper.restore(nowMillis, decisions);
    rejectHopeless(decisions);
    claims.startReady(nowMillis, decisions);
    placer.begin();
    for (BackfillReservations.BackfillReservation kept : reservations.due(nowMillis)) {
      takeReserved(kept, decisions);
    }
    round.run(true, jobClass -> tryStart(jobClass, decisions));
    boolean limited = round.run(false, jobClass -> tryStart(jobClass, decisions));
    claims.startReady(nowMillis, decisions);
    if (limited) {
      state.changed();
    }
    return decisions;
  }

  private boolean tryStart(EquivalenceClass jobClass, List<Decision> decisions) {
    JobRequest job = jobClass.head();
    boolean started = placer.tryStart(job, jobClass.key(), nowMillis, decisions);
    TeamState team = state.team(job.team());
    ResourceVector total = job.shape().perTask().times(job.shape().tasks());
    if (!started && !job.urgent() && team.hasQuotaFor(total)) {
      reservations.reserve(job, jobClass.key(), nowMillis);
    }
    return started;
  }

  private void takeReserved(
      BackfillReservations.BackfillReservation kept, List<Decision> decisions) {
    EquivalenceClass jobClass = state.waiting().classOf(kept.key());
    if (jobClass == null) {
      return;
    }
    JobRequest job = jobClass.head();
    ResourceVector total = job.shape().perTask().times(job.shape().tasks());
    boolean quota = state.team(job.team()).hasQuotaFor(total);
    boolean fixed = job.preemptible() || state.team(job.team()).hasQuotaForFixed(total);
    if (quota && fixed && claims.takeReserved(job, kept, nowMillis, decisions)) {
      reservations.drop(kept.key());
    } else {
      reservations.postpone(kept, job.shape(), nowMillis);
    }
  }

  private void rejectHopeless(List<Decision> decisions) {
    for (String jobId : unchecked) {
      JobRequest job = state.waiting().get(jobId);
      if (job == null) {
        continue;
      }
      String failure = faults.rejection(jobId);
      String reason = failure == null ? fitCheck.problem(job) : failure;
      if (reason != null) {
        state.waiting().remove(jobId);
        faults.blameJob(jobId);
        interrupted.remove(jobId);
        decisions.add(new Decision.Reject(jobId, reason));
      }
    }
    unchecked.clear();
  }

  @Override
  public String explain(String jobId, long now) {
    return explainer.explain(requireNonNull(jobId, "jobId is null"));
  }

  @Override
  public List<GuaranteeReport> guarantees() {
    if (recovered) {
      defineGuarantees();
    }
    keeper.restorePlan(nowMillis);
    return reports.reports(nowMillis);
  }

  @Override
  public List<String> isolatedWorkers() {
    return faults.isolated();
  }

  private void forget(String jobId) {
    faults.forgetJob(jobId);
    interrupted.remove(jobId);
    unchecked.remove(jobId);
  }

  private void refresh(String workerId) {
    Integer number = state.fleet().find(workerId);
    if (number == null) {
      faults.forgetWorker(workerId);
    } else {
      refresh((int) number);
    }
  }

  private void refresh(int worker) {
    Fleet fleet = state.fleet();
    String name = fleet.name(worker);
    boolean usable = fleet.isIn(worker) && !faults.isIsolated(name);
    use(worker, usable, usable && !faults.isAwaitingProbe(name));
  }

  private void use(int worker, boolean usable, boolean reliable) {
    Fleet fleet = state.fleet();
    WorkerState known = Objects.requireNonNullElse(fleet.state(worker), NO_WORKER);
    boolean wasUsable = fleet.free().isUsable(worker);
    boolean wasReliable = fleet.reclaimable().isUsable(worker);
    fleet.setUsable(worker, usable, reliable);
    if (usable != wasUsable) {
      ramp.usable(known.dataCentre(), known.capacity().accelerators(), usable);
    }
    if (wasReliable && !reliable) {
      claims.cancelOn(worker);
      reservations.dropOn(worker);
    }
    plan.dropBroken(worker);
    if (reliable && !wasReliable) {
      keeper.capacityReturned();
    }
    if (usable != wasUsable || reliable != wasReliable) {
      state.changed();
    }
  }
}
