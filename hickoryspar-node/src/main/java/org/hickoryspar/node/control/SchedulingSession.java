package org.hickoryspar.node.control;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.control.ControlState;
import org.hickoryspar.kernel.fleet.FleetDocument;
import org.hickoryspar.kernel.scheduling.Decision;
import org.hickoryspar.kernel.scheduling.EndReason;
import org.hickoryspar.kernel.scheduling.GuaranteeReport;
import org.hickoryspar.kernel.scheduling.RunningGang;
import org.hickoryspar.kernel.scheduling.Scheduler;
import org.hickoryspar.kernel.scheduling.SchedulingConfig;
import org.hickoryspar.kernel.scheduling.WorkerState;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.node.platform.Platform;
import org.hickoryspar.protocol.Command;
import org.hickoryspar.protocol.GangPlacement;
import org.hickoryspar.protocol.GangStep;
import org.hickoryspar.protocol.InventoryUpdate;
import org.hickoryspar.protocol.JobRecord;
import org.hickoryspar.protocol.TaskPlacement;
import org.hickoryspar.protocol.WorkerInfo;

/**
 * Runs the scheduler of one leader for one term: passes it the changes of the replicated state and
 * proposes its decisions. Confined to the scheduling loop.
 */
final class SchedulingSession {

  private static final int TICKS_PER_GUARANTEE_REPORT = 8;

  private final ControlState state;
  private final Proposer proposer;
  private final Platform platform;
  private final Scheduler scheduler;
  private final GangDriver gangDriver;
  private final Executor platformPool;
  private final Executor loop;
  private final long term;
  private final Map<String, JobRecord> jobs = new HashMap<>();
  private final Set<String> proposedPlacements = new HashSet<>();
  private final Map<String, String> pendingPreemptions = new HashMap<>();
  private final Map<String, CompletableFuture<Result<CommandResult>>> pendingRejections =
      new HashMap<>();
  private final GuaranteeMonitor guaranteeMonitor = new GuaranteeMonitor();
  private FleetDocument fleet = FleetDocument.empty();
  private boolean inventoryPolling;
  private int ticks;

  /** Time at which the next exception ends, which changes the configuration without a command. */
  private long nextConfigurationMillis = Long.MAX_VALUE;

  SchedulingSession(
      ControlState state,
      Proposer proposer,
      Platform platform,
      Scheduler scheduler,
      GangDriver gangDriver,
      Executor platformPool,
      Executor loop,
      long term) {
    this.state = requireNonNull(state, "state is null");
    this.proposer = requireNonNull(proposer, "proposer is null");
    this.platform = requireNonNull(platform, "platform is null");
    this.scheduler = requireNonNull(scheduler, "scheduler is null");
    this.gangDriver = requireNonNull(gangDriver, "gangDriver is null");
    this.platformPool = requireNonNull(platformPool, "platformPool is null");
    this.loop = requireNonNull(loop, "loop is null");
    this.term = term;
  }

  long term() {
    return term;
  }

  /** Passes the whole replicated state to the scheduler and makes the first decisions. */
  void rebuild() {
    configure();
    updateWorkers(state.workers());
    for (JobRecord job : state.jobs()) {
      jobs.put(job.getJobId(), job);
      if (job.getPhase() == GangStep.Phase.QUEUED) {
        scheduler.jobQueued(RecordConverter.toRequest(job));
      } else if (GangDriver.holdsResources(job.getPhase())) {
        scheduler.gangRecovered(toRunningGang(job));
        gangDriver.handleJobChange(job);
      }
    }
    EventLogger.log(ControlEvent.LEADING, term, jobs.size(), state.workers().size());
    decide();
  }

  private static RunningGang toRunningGang(JobRecord job) {
    List<String> workers = job.getPlacementsList().stream().map(TaskPlacement::getWorker).toList();
    return new RunningGang(
        RecordConverter.toRequest(job),
        workers,
        job.getPhaseSinceMillis(),
        job.getPhaseSinceMillis(),
        job.getPhase() == GangStep.Phase.UNDOING);
  }

  void handleApplied(Command command) {
    switch (command.getKindCase()) {
      case FLEET_CHANGE -> {
        configure();
        drainDataCentres();
      }
      case INVENTORY -> {
        command.getInventory().getRemovedList().forEach(scheduler::workerRemoved);
        updateWorkers(command.getInventory().getUpsertsList());
      }
      case SUBMIT_JOB -> handleJobChange(command.getSubmitJob().getJobId());
      case CANCEL_JOB -> handleJobChange(command.getCancelJob().getJobId());
      case GANG_PLACEMENT -> handleJobChange(command.getGangPlacement().getJobId());
      case GANG_STEP -> handleJobChange(command.getGangStep().getJobId());
      default -> {
        return;
      }
    }
    decide();
  }

  private void configure() {
    ControlState.FleetVersion current = state.fleet();
    // Documents are checked before they are proposed, so a failure violates an invariant.
    fleet =
        FleetDocument.from(current.document())
            .getOrElseThrow(problem -> new IllegalStateException(problem.toString()));
    scheduler.configure(fleet.toSchedulingConfig(current.version(), nowMillis()));
    nextConfigurationMillis = fleet.nextExceptionEndMillis(nowMillis()).orElse(Long.MAX_VALUE);
  }

  private void updateWorkers(List<WorkerInfo> workers) {
    workers.stream().map(RecordConverter::toWorkerState).forEach(scheduler::workerChanged);
  }

  /**
   * Returns the later of replicated time and wall clock. Replicated time does not advance between
   * commands, but reservations and backoffs expire then as well.
   */
  private long nowMillis() {
    return Math.max(state.timeMillis(), proposer.wallClockMillis());
  }

  private void handleJobChange(String jobId) {
    if (proposedPlacements.contains(jobId)) {
      // Handled once the outcome of the proposal is known.
      return;
    }
    state.job(jobId).ifPresent(this::handleJobChange);
  }

  private void handleJobChange(JobRecord job) {
    JobRecord previous = jobs.put(job.getJobId(), job);
    if (job.equals(previous)) {
      return;
    }
    boolean heldResources = previous != null && GangDriver.holdsResources(previous.getPhase());
    boolean wasQueued = previous != null && previous.getPhase() == GangStep.Phase.QUEUED;
    switch (job.getPhase()) {
      case QUEUED -> {
        if (heldResources) {
          release(previous, RecordConverter.endReason(previous.getResult()));
        } else if (!wasQueued) {
          scheduler.jobQueued(RecordConverter.toRequest(job));
        }
      }
      case ENDED -> {
        if (heldResources) {
          release(previous, RecordConverter.endReason(job.getResult()));
        } else if (wasQueued) {
          scheduler.jobRemoved(job.getJobId());
        }
        jobs.remove(job.getJobId());
      }
      default -> {}
    }
    gangDriver.handleJobChange(job);
  }

  private void release(JobRecord job, EndReason reason) {
    pendingPreemptions.remove(job.getJobId());
    scheduler.gangEnded(job.getJobId(), reason, job.getFaultyWorkersList(), nowMillis());
  }

  private void drainDataCentres() {
    Set<String> dataCentresOut = fleet.toSchedulingConfig(0, nowMillis()).dataCentresOut();
    if (dataCentresOut.isEmpty()) {
      return;
    }
    Set<String> drainedWorkers = new HashSet<>();
    state.workers().stream()
        .filter(worker -> dataCentresOut.contains(worker.getDataCentre()))
        .forEach(worker -> drainedWorkers.add(worker.getId()));
    for (JobRecord job : new ArrayList<>(jobs.values())) {
      boolean affected =
          job.getPlacementsList().stream().anyMatch(p -> drainedWorkers.contains(p.getWorker()));
      boolean movable = job.getSpec().getPreemptible() || job.getPhase() != GangStep.Phase.RUNNING;
      if (affected && movable && job.getPhase() != GangStep.Phase.UNDOING) {
        gangDriver.requestRollback(job, "moved", "its data centre was taken out", List.of());
      }
    }
  }

  void tick() {
    if (nextConfigurationMillis <= nowMillis()) {
      configure();
    }
    gangDriver.tick();
    retryPreemptions();
    pollInventory();
    decide();
    if (++ticks % TICKS_PER_GUARANTEE_REPORT == 0) {
      guaranteeMonitor.observe(scheduler.guarantees());
    }
  }

  /** Repeats preemptions, which are refused while the victim is between two steps. */
  private void retryPreemptions() {
    pendingPreemptions.forEach((jobId, reason) -> preempt(jobId, reason));
  }

  private void preempt(String jobId, String reason) {
    JobRecord job = jobs.get(jobId);
    if (job != null
        && GangDriver.holdsResources(job.getPhase())
        && job.getPhase() != GangStep.Phase.UNDOING) {
      gangDriver.requestRollback(job, "preempted", reason, List.of());
    }
  }

  private void pollInventory() {
    if (inventoryPolling) {
      return;
    }
    inventoryPolling = true;
    CompletableFuture.supplyAsync(platform::inventory, platformPool)
        .whenCompleteAsync(
            (inventory, error) -> {
              inventoryPolling = false;
              if (inventory != null) {
                inventory.fold(this::logInventoryFailure, this::proposeInventory);
              }
            },
            loop);
  }

  private Boolean logInventoryFailure(Problem problem) {
    EventLogger.log(ControlEvent.PLATFORM_FAILED, "inventory", problem);
    return false;
  }

  private Boolean proposeInventory(List<WorkerState> inventory) {
    InventoryUpdate update = RecordConverter.diffInventory(state.workers(), inventory);
    if (update.getUpsertsCount() + update.getRemovedCount() > 0) {
      proposer.propose(Command.newBuilder().setInventory(update));
    }
    return true;
  }

  /** Proposes all decisions that the scheduler makes now. */
  void decide() {
    for (Decision decision : scheduler.decide(nowMillis())) {
      if (decision instanceof Decision.Place place) {
        propose(place);
      } else if (decision instanceof Decision.Preempt preempt) {
        pendingPreemptions.put(preempt.jobId(), preempt.reason());
        preempt(preempt.jobId(), preempt.reason());
      } else if (decision instanceof Decision.Reject reject) {
        propose(reject);
      }
    }
  }

  private void propose(Decision.Place place) {
    JobRecord job = requireNonNull(jobs.get(place.jobId()), "placed job is unknown");
    int attempt = job.getAttempt() + 1;
    GangPlacement.Builder placement =
        GangPlacement.newBuilder().setJobId(place.jobId()).setAttempt(attempt);
    for (int task = 0; task < place.workers().size(); task++) {
      placement.addPlacements(
          TaskPlacement.newBuilder()
              .setTask(task)
              .setWorker(place.workers().get(task))
              .setLeaseId(place.jobId() + "-" + attempt + "-" + task));
    }
    proposedPlacements.add(place.jobId());
    proposer
        .propose(Command.newBuilder().setGangPlacement(placement))
        .thenAcceptAsync(result -> handlePlacementResult(place.jobId(), result), loop);
  }

  private void handlePlacementResult(String jobId, Result<CommandResult> result) {
    proposedPlacements.remove(jobId);
    String refusal =
        result.fold(
            Problem::toString,
            applied ->
                applied instanceof CommandResult.Refused refused
                    ? refused.problem().toString()
                    : "");
    if (!refusal.isEmpty()) {
      EventLogger.log(ControlEvent.DECISION_REFUSED, jobId, refusal);
      boolean ended = state.job(jobId).map(j -> j.getPhase() == GangStep.Phase.ENDED).orElse(true);
      scheduler.gangEnded(
          jobId, ended ? EndReason.CANCELLED : EndReason.UNDONE, List.of(), nowMillis());
      if (ended) {
        jobs.remove(jobId);
        return;
      }
    }
    handleJobChange(jobId);
  }

  private void propose(Decision.Reject reject) {
    JobRecord job = jobs.get(reject.jobId());
    if (job == null) {
      return;
    }
    EventLogger.log(ControlEvent.JOB_REJECTED, reject.jobId(), reject.reason());
    GangStep.Builder step =
        GangStep.newBuilder()
            .setJobId(job.getJobId())
            .setAttempt(job.getAttempt())
            .setPhase(GangStep.Phase.ENDED)
            .setResult("rejected")
            .setDetail(reject.reason());
    CompletableFuture<Result<CommandResult>> proposal =
        proposer.propose(Command.newBuilder().setGangStep(step));
    pendingRejections.put(reject.jobId(), proposal);
    proposal.thenAcceptAsync(ignored -> pendingRejections.remove(reject.jobId()), loop);
  }

  /** Returns the result of the pending rejection of a job; {@code Accepted} if there is none. */
  CompletableFuture<Result<CommandResult>> pendingRejection(String jobId) {
    return pendingRejections.getOrDefault(
        jobId, CompletableFuture.completedFuture(Result.success(new CommandResult.Accepted())));
  }

  String explain(String jobId) {
    return scheduler.explain(jobId, nowMillis());
  }

  List<GuaranteeReport> guarantees() {
    return scheduler.guarantees();
  }

  List<String> isolatedWorkers() {
    return scheduler.isolatedWorkers();
  }

  Result<Long> check(SchedulingConfig config) {
    return scheduler.check(config);
  }
}
