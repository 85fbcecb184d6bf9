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

/** The decisions of one leader in one term. Confined to the scheduling loop. */
final class SchedulingSession {

  private static final int TICKS_PER_GUARANTEE_REPORT = 8;

  private final ControlState state;
  private final Proposer proposer;
  private final Platform platform;
  private final Scheduler scheduler;
  private final GangDriver gangs;
  private final Executor platformPool;
  private final Executor loop;
  private final long term;
  private final Map<String, JobRecord> known = new HashMap<>();
  private final Set<String> proposedPlacements = new HashSet<>();
  private final Map<String, String> preemptions = new HashMap<>();
  private final Map<String, CompletableFuture<Result<CommandResult>>> rejections = new HashMap<>();
  private final GuaranteeMonitor guaranteeMonitor = new GuaranteeMonitor();
  private FleetDocument fleet = FleetDocument.empty();
  private boolean inventoryPolling;
  private int ticks;

  /** When the next exception ends, which changes the configuration without a command. */
  private long nextConfigureMillis = Long.MAX_VALUE;

  SchedulingSession(
      ControlState state,
      Proposer proposer,
      Platform platform,
      Scheduler scheduler,
      GangDriver gangs,
      Executor platformPool,
      Executor loop,
      long term) {
    this.state = requireNonNull(state, "state is null");
    this.proposer = requireNonNull(proposer, "proposer is null");
    this.platform = requireNonNull(platform, "platform is null");
    this.scheduler = requireNonNull(scheduler, "scheduler is null");
    this.gangs = requireNonNull(gangs, "gangs is null");
    this.platformPool = requireNonNull(platformPool, "platformPool is null");
    this.loop = requireNonNull(loop, "loop is null");
    this.term = term;
  }

  long term() {
    return term;
  }

  /** Feeds the scheduler with everything in the replicated state. */
  void rebuild() {
    configure();
    feedWorkers(state.workers());
    for (JobRecord job : state.jobs()) {
      known.put(job.getJobId(), job);
      if (job.getPhase() == GangStep.Phase.QUEUED) {
        scheduler.jobQueued(JobRecords.toRequest(job));
      } else if (GangDriver.holdsResources(job.getPhase())) {
        scheduler.gangRecovered(recovered(job));
        gangs.changed(job);
      }
    }
    EventLogger.log(ControlEvent.LEADING, term, known.size(), state.workers().size());
    decide();
  }

  private static RunningGang recovered(JobRecord job) {
    List<String> workers = job.getPlacementsList().stream().map(TaskPlacement::getWorker).toList();
    return new RunningGang(
        JobRecords.toRequest(job),
        workers,
        job.getPhaseSinceMillis(),
        job.getPhaseSinceMillis(),
        job.getPhase() == GangStep.Phase.UNDOING);
  }

  void applied(Command command) {
    switch (command.getKindCase()) {
      case FLEET_CHANGE -> {
        configure();
        moveOutOfClosedDataCentres();
      }
      case INVENTORY -> {
        command.getInventory().getRemovedList().forEach(scheduler::workerRemoved);
        feedWorkers(command.getInventory().getUpsertsList());
      }
      case SUBMIT_JOB -> jobChanged(command.getSubmitJob().getJobId());
      case CANCEL_JOB -> jobChanged(command.getCancelJob().getJobId());
      case GANG_PLACEMENT -> jobChanged(command.getGangPlacement().getJobId());
      case GANG_STEP -> jobChanged(command.getGangStep().getJobId());
      default -> {
        return;
      }
    }
    decide();
  }

  private void configure() {
    ControlState.FleetVersion current = state.fleet();
    // A document is checked before it is proposed, so a failure here is a broken invariant.
    fleet =
        FleetDocument.from(current.document())
            .getOrElseThrow(problem -> new IllegalStateException(problem.toString()));
    scheduler.configure(fleet.toSchedulingConfig(current.version(), nowMillis()));
    nextConfigureMillis = fleet.nextExceptionEndMillis(nowMillis()).orElse(Long.MAX_VALUE);
  }

  private void feedWorkers(List<WorkerInfo> workers) {
    workers.stream().map(JobRecords::toWorker).forEach(scheduler::workerChanged);
  }

  /** Replicated time stands still between commands, but reservations and back-offs do not. */
  private long nowMillis() {
    return Math.max(state.timeMillis(), proposer.wallClockMillis());
  }

  private void jobChanged(String jobId) {
    if (proposedPlacements.contains(jobId)) {
      // Looked at again once the outcome of the proposal is known.
      return;
    }
    state.job(jobId).ifPresent(this::jobChanged);
  }

  private void jobChanged(JobRecord job) {
    JobRecord before = known.put(job.getJobId(), job);
    if (job.equals(before)) {
      return;
    }
    boolean heldBefore = before != null && GangDriver.holdsResources(before.getPhase());
    boolean queuedBefore = before != null && before.getPhase() == GangStep.Phase.QUEUED;
    switch (job.getPhase()) {
      case QUEUED -> {
        if (heldBefore) {
          release(before, JobRecords.endReason(before.getResult()));
        } else if (!queuedBefore) {
          scheduler.jobQueued(JobRecords.toRequest(job));
        }
      }
      case ENDED -> {
        if (heldBefore) {
          release(before, JobRecords.endReason(job.getResult()));
        } else if (queuedBefore) {
          scheduler.jobRemoved(job.getJobId());
        }
        known.remove(job.getJobId());
      }
      default -> {}
    }
    gangs.changed(job);
  }

  private void release(JobRecord job, EndReason reason) {
    preemptions.remove(job.getJobId());
    scheduler.gangEnded(job.getJobId(), reason, job.getFaultyWorkersList(), nowMillis());
  }

  private void moveOutOfClosedDataCentres() {
    Set<String> out = fleet.toSchedulingConfig(0, nowMillis()).dataCentresOut();
    if (out.isEmpty()) {
      return;
    }
    Set<String> closedWorkers = new HashSet<>();
    state.workers().stream()
        .filter(worker -> out.contains(worker.getDataCentre()))
        .forEach(worker -> closedWorkers.add(worker.getId()));
    for (JobRecord job : new ArrayList<>(known.values())) {
      boolean affected =
          job.getPlacementsList().stream().anyMatch(p -> closedWorkers.contains(p.getWorker()));
      boolean movable = job.getSpec().getPreemptible() || job.getPhase() != GangStep.Phase.RUNNING;
      if (affected && movable && job.getPhase() != GangStep.Phase.UNDOING) {
        gangs.rollBack(job, "moved", "its data centre was taken out", List.of());
      }
    }
  }

  void tick() {
    if (nextConfigureMillis <= nowMillis()) {
      configure();
    }
    gangs.tick();
    retryPreemptions();
    pollInventory();
    decide();
    if (++ticks % TICKS_PER_GUARANTEE_REPORT == 0) {
      guaranteeMonitor.observe(scheduler.guarantees());
    }
  }

  /** A preemption may be refused while the victim is between two steps. */
  private void retryPreemptions() {
    preemptions.forEach((jobId, reason) -> preempt(jobId, reason));
  }

  private void preempt(String jobId, String reason) {
    JobRecord job = known.get(jobId);
    if (job != null
        && GangDriver.holdsResources(job.getPhase())
        && job.getPhase() != GangStep.Phase.UNDOING) {
      gangs.rollBack(job, "preempted", reason, List.of());
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
                inventory.fold(this::inventoryFailed, this::proposeInventory);
              }
            },
            loop);
  }

  private Boolean inventoryFailed(Problem problem) {
    EventLogger.log(ControlEvent.PLATFORM_FAILED, "inventory", problem);
    return false;
  }

  private Boolean proposeInventory(List<WorkerState> inventory) {
    InventoryUpdate update = JobRecords.difference(state.workers(), inventory);
    if (update.getUpsertsCount() + update.getRemovedCount() > 0) {
      proposer.propose(Command.newBuilder().setInventory(update));
    }
    return true;
  }

  /** Makes all decisions that are possible now and proposes them. */
  void decide() {
    for (Decision decision : scheduler.decide(nowMillis())) {
      if (decision instanceof Decision.Place place) {
        propose(place);
      } else if (decision instanceof Decision.Preempt preempt) {
        preemptions.put(preempt.jobId(), preempt.reason());
        preempt(preempt.jobId(), preempt.reason());
      } else if (decision instanceof Decision.Reject reject) {
        propose(reject);
      }
    }
  }

  private void propose(Decision.Place place) {
    JobRecord job = requireNonNull(known.get(place.jobId()), "a placed job is not known");
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
        .thenAcceptAsync(result -> placementDone(place.jobId(), result), loop);
  }

  private void placementDone(String jobId, Result<CommandResult> result) {
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
        known.remove(jobId);
        return;
      }
    }
    jobChanged(jobId);
  }

  private void propose(Decision.Reject reject) {
    JobRecord job = known.get(reject.jobId());
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
    CompletableFuture<Result<CommandResult>> recorded =
        proposer.propose(Command.newBuilder().setGangStep(step));
    rejections.put(reject.jobId(), recorded);
    recorded.thenAcceptAsync(done -> rejections.remove(reject.jobId()), loop);
  }

  /** Returns a future that completes once a decision to reject the job, if any, is recorded. */
  CompletableFuture<Result<CommandResult>> rejectionRecorded(String jobId) {
    return rejections.getOrDefault(
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
