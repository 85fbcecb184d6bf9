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
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.scheduling.ResourceVector;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.node.platform.Platform;
import org.hickoryspar.protocol.Command;
import org.hickoryspar.protocol.GangStep;
import org.hickoryspar.protocol.JobRecord;
import org.hickoryspar.protocol.Shape;
import org.hickoryspar.protocol.TaskPlacement;

/**
 * Carries out the steps of gangs on the platform: prepares all tasks of a gang, then starts all of
 * them, or rolls the whole gang back.
 *
 * <p>Each step is recorded in the replicated state before the next one begins, so that a new leader
 * resumes from the record. Confined to the scheduling loop; platform calls run on a pool.
 */
final class GangDriver {

  /** Time within which a prepared task must start; a later start has no effect. */
  static final long START_VALIDITY_MILLIS = 2_000;

  /** Time without a confirmation of a lease after which its gang is rolled back. */
  static final long CONFIRMATION_TIMEOUT_MILLIS = 6_000;

  private static final long CHECKPOINT_TIMEOUT_MILLIS = 5_000;
  private static final long STOP_RETRY_INTERVAL_MILLIS = 1_000;

  private final Proposer proposer;
  private final Platform platform;
  private final Executor platformPool;
  private final ScheduledExecutorService loop;
  private final LongSupplier monotonicMillis;
  private final long term;
  private final Map<String, GangLeases> leasesByJob = new HashMap<>();
  private final Map<String, JobRecord> activeJobs = new HashMap<>();
  private final Set<String> stepsInProgress = new HashSet<>();
  private long lastRenewalMillis = Long.MIN_VALUE / 2;
  private boolean usagePolling;

  GangDriver(
      Proposer proposer,
      Platform platform,
      Executor platformPool,
      ScheduledExecutorService loop,
      LongSupplier monotonicMillis,
      long term) {
    this.proposer = requireNonNull(proposer, "proposer is null");
    this.platform = requireNonNull(platform, "platform is null");
    this.platformPool = requireNonNull(platformPool, "platformPool is null");
    this.loop = requireNonNull(loop, "loop is null");
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
    this.term = term;
  }

  static boolean holdsResources(GangStep.Phase phase) {
    return phase == GangStep.Phase.PREPARING
        || phase == GangStep.Phase.STARTING
        || phase == GangStep.Phase.RUNNING
        || phase == GangStep.Phase.UNDOING;
  }

  /** Handles a change of the record of a job and carries out the step that follows from it. */
  void handleJobChange(JobRecord job) {
    if (!holdsResources(job.getPhase())) {
      activeJobs.remove(job.getJobId());
      leasesByJob.remove(job.getJobId());
      return;
    }
    JobRecord previous = activeJobs.put(job.getJobId(), job);
    if (previous == null || previous.getAttempt() != job.getAttempt()) {
      leasesByJob.put(job.getJobId(), new GangLeases(job, monotonicMillis.getAsLong()));
    }
    runStep(job);
  }

  private void runStep(JobRecord job) {
    if (job.getPhase() == GangStep.Phase.RUNNING || !stepsInProgress.add(stepKey(job))) {
      return;
    }
    switch (job.getPhase()) {
      case PREPARING -> prepare(job);
      case STARTING -> start(job);
      default -> performRollback(job);
    }
  }

  private static String stepKey(JobRecord job) {
    return job.getJobId() + '/' + job.getAttempt() + '/' + job.getPhase();
  }

  private void prepare(JobRecord job) {
    callForAllTasks(job, placement -> platform.prepare(prepareRequest(job, placement)))
        .thenAcceptAsync(
            results -> finishStep(job, results, GangStep.Phase.STARTING, "preparing failed"), loop);
  }

  private Platform.PrepareRequest prepareRequest(JobRecord job, TaskPlacement placement) {
    return new Platform.PrepareRequest(
        placement.getLeaseId(),
        job.getJobId(),
        placement.getTask(),
        placement.getWorker(),
        toResources(job.getSpec().getPerTask()),
        term,
        GangLeases.LEASE_MILLIS,
        START_VALIDITY_MILLIS,
        job.getSpec().getDeclaredRunMillis());
  }

  static ResourceVector toResources(Shape shape) {
    return new ResourceVector(
        shape.getCores(), shape.getMemoryMegabytes(), shape.getAccelerators());
  }

  private void start(JobRecord job) {
    callForAllTasks(job, placement -> platform.start(placement.getLeaseId(), term))
        .thenAcceptAsync(
            results -> finishStep(job, results, GangStep.Phase.RUNNING, "starting failed"), loop);
  }

  private void finishStep(
      JobRecord job, List<Result<String>> results, GangStep.Phase nextPhase, String failureDetail) {
    List<String> failedWorkers = new ArrayList<>();
    String reason = "";
    for (int i = 0; i < results.size(); i++) {
      if (!results.get(i).isSuccess()) {
        failedWorkers.add(job.getPlacements(i).getWorker());
        reason = results.get(i).problem().map(Problem::toString).orElse("");
      }
    }
    if (!failedWorkers.isEmpty()) {
      stepsInProgress.remove(stepKey(job));
      requestRollback(job, "undone", failureDetail + ": " + reason, failedWorkers);
      return;
    }
    propose(newStep(job, nextPhase))
        .thenAcceptAsync(
            refusal -> {
              // Removed only now, so that a tick does not repeat a step with a pending proposal.
              stepsInProgress.remove(stepKey(job));
              handleStepOutcome(job, nextPhase, refusal);
            },
            loop);
  }

  private void handleStepOutcome(JobRecord job, GangStep.Phase nextPhase, String refusal) {
    if (refusal.isEmpty()) {
      if (nextPhase == GangStep.Phase.RUNNING) {
        EventLogger.log(ControlEvent.GANG_RUNNING, job.getJobId(), job.getPlacementsCount());
      }
    } else if (refusal.startsWith("data-centre-out") || refusal.startsWith("no-worker")) {
      requestRollback(job, "undone", refusal, List.of());
    }
  }

  /** Proposes to stop the whole gang and to queue the job again. */
  void requestRollback(JobRecord job, String result, String detail, List<String> faultyWorkers) {
    String rollbackKey = job.getJobId() + '/' + job.getAttempt() + "/roll-back";
    if (!stepsInProgress.add(rollbackKey)) {
      return;
    }
    EventLogger.log(ControlEvent.GANG_UNDONE, job.getJobId(), detail);
    propose(
            newStep(job, GangStep.Phase.UNDOING)
                .setThen(GangStep.Phase.QUEUED)
                .setResult(result)
                .setDetail(detail)
                .addAllFaultyWorkers(faultyWorkers))
        .thenAcceptAsync(refusal -> stepsInProgress.remove(rollbackKey), loop);
  }

  private void performRollback(JobRecord job) {
    boolean checkpointFirst =
        job.getResult().equals("preempted") || job.getResult().equals("moved");
    CompletableFuture<List<Result<String>>> checkpoints =
        checkpointFirst
            ? callForAllTasks(job, placement -> platform.checkpoint(placement.getLeaseId(), term))
                .completeOnTimeout(List.of(), CHECKPOINT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            : CompletableFuture.completedFuture(List.of());
    checkpoints.thenAcceptAsync(ignored -> stopAll(job), loop);
  }

  private void stopAll(JobRecord job) {
    callForAllTasks(job, placement -> platform.stop(placement.getLeaseId(), term))
        .thenAcceptAsync(
            results -> {
              GangLeases leases = leasesByJob.get(job.getJobId());
              if (leases == null) {
                stepsInProgress.remove(stepKey(job));
                return;
              }
              for (int i = 0; i < results.size(); i++) {
                if (results.get(i).isSuccess()) {
                  leases.recordStop(job.getPlacements(i).getLeaseId());
                }
              }
              if (leases.allEnded(monotonicMillis.getAsLong())) {
                finishRollback(job);
              } else {
                loop.schedule(
                    () -> stopAll(job), STOP_RETRY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
              }
            },
            loop);
  }

  private void finishRollback(JobRecord stoppedJob) {
    // A cancellation during the rollback may have changed the phase that follows.
    JobRecord job = activeJobs.getOrDefault(stoppedJob.getJobId(), stoppedJob);
    propose(newStep(job, job.getThen()).setResult(job.getResult()).setDetail(job.getDetail()))
        .thenAcceptAsync(refusal -> stepsInProgress.remove(stepKey(stoppedJob)), loop);
  }

  /** Renews leases, polls the usage report and repeats steps whose proposal failed. */
  void tick() {
    long nowMillis = monotonicMillis.getAsLong();
    if (nowMillis - lastRenewalMillis >= GangLeases.RENEWAL_INTERVAL_MILLIS) {
      lastRenewalMillis = nowMillis;
      renew(nowMillis);
    }
    if (!usagePolling) {
      usagePolling = true;
      CompletableFuture.supplyAsync(platform::usage, platformPool)
          .whenCompleteAsync(
              (usage, error) -> {
                usagePolling = false;
                if (usage != null) {
                  usage.fold(this::logPlatformFailure, this::handleUsage);
                }
              },
              loop);
    }
    for (JobRecord job : new ArrayList<>(activeJobs.values())) {
      runStep(job);
    }
  }

  private Boolean logPlatformFailure(Problem problem) {
    EventLogger.log(ControlEvent.PLATFORM_FAILED, "usage", problem);
    return false;
  }

  private void renew(long nowMillis) {
    List<String> leaseIds = new ArrayList<>();
    for (JobRecord job : activeJobs.values()) {
      GangLeases leases = leasesByJob.get(job.getJobId());
      if (job.getPhase() != GangStep.Phase.UNDOING && leases != null) {
        leases.recordRenewalSent(nowMillis);
        job.getPlacementsList().forEach(placement -> leaseIds.add(placement.getLeaseId()));
      }
    }
    if (leaseIds.isEmpty() || !proposer.holdsLease()) {
      return;
    }
    CompletableFuture.supplyAsync(
            () -> platform.renew(leaseIds, term, GangLeases.LEASE_MILLIS), platformPool)
        .thenAcceptAsync(
            result ->
                result.fold(this::logPlatformFailure, ids -> recordConfirmations(ids, nowMillis)),
            loop);
  }

  private Boolean recordConfirmations(List<String> leaseIds, long sentMillis) {
    Set<String> confirmed = new HashSet<>(leaseIds);
    for (JobRecord job : activeJobs.values()) {
      GangLeases leases = leasesByJob.get(job.getJobId());
      for (TaskPlacement placement : job.getPlacementsList()) {
        if (leases != null && confirmed.contains(placement.getLeaseId())) {
          leases.recordConfirmation(placement.getLeaseId(), sentMillis);
        }
      }
    }
    return true;
  }

  private Boolean handleUsage(List<Platform.TaskReport> reports) {
    Map<String, Platform.TaskReport> byLease = new HashMap<>();
    for (Platform.TaskReport report : reports) {
      byLease.put(report.leaseId(), report);
    }
    for (JobRecord job : new ArrayList<>(activeJobs.values())) {
      if (job.getPhase() == GangStep.Phase.RUNNING) {
        checkGang(job, byLease);
      }
    }
    return true;
  }

  private void checkGang(JobRecord job, Map<String, Platform.TaskReport> byLease) {
    GangLeases leases =
        requireNonNull(leasesByJob.get(job.getJobId()), "leases of an active gang are missing");
    long nowMillis = monotonicMillis.getAsLong();
    List<String> failedWorkers = new ArrayList<>();
    List<String> lostWorkers = new ArrayList<>();
    int succeeded = 0;
    for (TaskPlacement placement : job.getPlacementsList()) {
      Platform.TaskReport report = byLease.get(placement.getLeaseId());
      switch (report == null ? "" : report.state()) {
        case "succeeded" -> {
          succeeded++;
          leases.recordConfirmation(placement.getLeaseId(), nowMillis);
        }
        case "failed" -> failedWorkers.add(placement.getWorker());
        case "expired", "stopped" -> lostWorkers.add(placement.getWorker());
        default -> {
          if (leases.isUnconfirmed(
              placement.getLeaseId(), nowMillis, CONFIRMATION_TIMEOUT_MILLIS)) {
            lostWorkers.add(placement.getWorker());
          }
        }
      }
    }
    if (!failedWorkers.isEmpty()) {
      requestRollback(job, "task-failed", "a task failed on " + failedWorkers, failedWorkers);
    } else if (!lostWorkers.isEmpty()) {
      requestRollback(job, "undone", "the tasks on " + lostWorkers + " were lost", lostWorkers);
    } else if (succeeded == job.getPlacementsCount()) {
      propose(newStep(job, GangStep.Phase.ENDED).setResult("completed"));
    }
  }

  private CompletableFuture<List<Result<String>>> callForAllTasks(
      JobRecord job, Function<TaskPlacement, Result<String>> call) {
    List<CompletableFuture<Result<String>>> calls = new ArrayList<>();
    for (TaskPlacement placement : job.getPlacementsList()) {
      calls.add(CompletableFuture.supplyAsync(() -> callIfLeading(placement, call), platformPool));
    }
    return CompletableFuture.allOf(calls.toArray(new CompletableFuture<?>[0]))
        .thenApply(ignored -> calls.stream().map(CompletableFuture::join).toList());
  }

  /**
   * Calls the platform if this replica is still the leader of the term. The leader lease is checked
   * immediately before the call, because the process may have been paused.
   */
  private Result<String> callIfLeading(
      TaskPlacement placement, Function<TaskPlacement, Result<String>> call) {
    return proposer.holdsLease() && proposer.term() == term
        ? call.apply(placement)
        : Result.failure("not-leader", "this replica does not lead any more");
  }

  private static GangStep.Builder newStep(JobRecord job, GangStep.Phase phase) {
    return GangStep.newBuilder()
        .setJobId(job.getJobId())
        .setAttempt(job.getAttempt())
        .setPhase(phase);
  }

  /** Proposes a step; returns an empty string if it was recorded, otherwise the reason. */
  private CompletableFuture<String> propose(GangStep.Builder step) {
    return proposer
        .propose(Command.newBuilder().setGangStep(step))
        .thenApply(
            result ->
                result.fold(
                    Problem::toString,
                    applied ->
                        applied instanceof CommandResult.Refused refused
                            ? refused.problem().toString()
                            : ""));
  }
}
