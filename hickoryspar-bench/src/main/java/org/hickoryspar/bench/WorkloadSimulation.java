package org.hickoryspar.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.DoubleConsumer;
import java.util.stream.IntStream;
import org.hickoryspar.bench.JobModel.Behaviour;
import org.hickoryspar.bench.JobState.Phase;
import org.hickoryspar.kernel.scheduling.Decision;
import org.hickoryspar.kernel.scheduling.EndReason;
import org.hickoryspar.kernel.scheduling.JobRequest;
import org.hickoryspar.kernel.scheduling.Scheduler;
import org.hickoryspar.kernel.scheduling.SchedulingConfig;
import org.hickoryspar.kernel.scheduling.WorkerState;
import org.hickoryspar.kernel.value.Problem;

/**
 * Simulates a platform that runs a workload with a scheduler under a virtual clock, and collects
 * measurements.
 *
 * <p>The clock advances to the time of the next action and, unless it is ideal, by the measured
 * duration of each decision. With an ideal clock the result depends on the workload and the
 * scheduler alone.
 */
final class WorkloadSimulation {

  /** Time to replicate a decision, prepare all tasks of a gang and start them. */
  static final long START_DELAY_MICROS = 150_000;

  private static final long SECOND_MICROS = 1_000_000;
  private static final long STOP_DELAY_MICROS = 200_000;
  private static final long LEASE_MICROS = 10 * SECOND_MICROS;
  private static final long CHECKPOINT_TIMEOUT_MICROS = 5 * SECOND_MICROS;
  private static final long CHECKPOINT_INTERVAL_MICROS = 30 * 60 * SECOND_MICROS;
  private static final long RESTORE_MILLIS = 30_000;
  private static final long TICK_INTERVAL_MICROS = 10 * SECOND_MICROS;
  private static final long SAMPLE_INTERVAL_MICROS = 60 * SECOND_MICROS;
  private static final int MAX_VIOLATIONS = 1_000;

  private final Workload workload;
  private final Scheduler scheduler;
  private final boolean idealClock;
  private final DoubleConsumer progress;
  private final SimulatedFleet fleet;
  private final DecisionChecker checker;
  private final Measurements measurements;
  private final Map<String, JobState> jobs = new LinkedHashMap<>();
  private final Map<String, JobState> waiting = new LinkedHashMap<>();
  private final Set<String> faultyWorkers = new HashSet<>();
  private final Set<String> dataCentresOut = new TreeSet<>();
  private final PriorityQueue<ScheduledAction> scheduledActions =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::atMicros)
              .thenComparingLong(ScheduledAction::sequence));
  private SchedulingConfig config;
  private long nowMicros;
  private long nextSequence;
  private boolean decisionNeeded;
  private boolean submittedSinceDecision;

  private record ScheduledAction(long atMicros, long sequence, Runnable action) {}

  WorkloadSimulation(
      Workload workload,
      String placementPolicy,
      Scheduler scheduler,
      boolean idealClock,
      DoubleConsumer progress) {
    this.workload = workload;
    this.scheduler = scheduler;
    this.idealClock = idealClock;
    this.progress = progress;
    fleet = new SimulatedFleet(workload.workers());
    config =
        new SchedulingConfig(1, placementPolicy, workload.config().teams(), Set.of(), Set.of());
    checker = new DecisionChecker(fleet, scheduler, config);
    measurements = new Measurements(workload, fleet, checker);
  }

  /**
   * Runs the workload until all its jobs have ended, its time is up or too many invariants have
   * been violated.
   */
  Measurements run() {
    workload.workers().forEach(scheduler::workerChanged);
    Optional<Problem> problem = scheduler.check(config).problem();
    if (problem.isPresent()) {
      throw new IllegalStateException("scheduler rejected the configuration: " + problem.get());
    }
    scheduler.configure(config);
    for (JobModel model : workload.jobs()) {
      scheduleAt(model.request().submittedMillis() * 1000, () -> submit(new JobState(model)));
    }
    workload.incidents().forEach(this::scheduleIncident);
    scheduleAt(TICK_INTERVAL_MICROS, this::tick);
    scheduleAt(SAMPLE_INTERVAL_MICROS, this::sample);
    long endMicros = workload.endMillis() * 1000;
    ScheduledAction next = scheduledActions.poll();
    while (next != null && next.atMicros() <= endMicros && !isFinished()) {
      nowMicros = Math.max(nowMicros, next.atMicros());
      next.action().run();
      next = scheduledActions.poll();
      // All due actions run before the next decision, as in a leader.
      if (decisionNeeded && (next == null || next.atMicros() > nowMicros)) {
        decide();
        if (next != null) {
          scheduledActions.add(next);
        }
        next = scheduledActions.poll();
      }
    }
    measurements.finish(nowMicros, jobs.values());
    return measurements;
  }

  private boolean isFinished() {
    boolean submissionsEnded = nowMicros > workload.submissionEndMillis() * 1000;
    return checker.totalExceptGuarantees() >= MAX_VIOLATIONS
        || (submissionsEnded && measurements.openJobs() == 0);
  }

  private void decide() {
    decisionNeeded = false;
    long beginNanos = System.nanoTime();
    List<Decision> decisions = scheduler.decide(nowMicros / 1000);
    long nanos = System.nanoTime() - beginNanos;
    long decisionMicros = idealClock ? 0 : nanos / 1000;
    measurements.recordDecision(nowMicros, nanos, submittedSinceDecision);
    submittedSinceDecision = false;
    List<JobState> placed = new ArrayList<>();
    for (Decision decision : decisions) {
      JobState job = jobs.get(decision.jobId());
      if (job == null) {
        throw new IllegalStateException("decision for an unknown job: " + decision);
      }
      if (decision instanceof Decision.Place place) {
        place(job, place, decisionMicros, placed);
      } else if (decision instanceof Decision.Preempt) {
        preempt(job, decisionMicros);
      } else if (decision instanceof Decision.Reject reject && job.phase() == Phase.WAITING) {
        waiting.remove(job.id());
        job.markReleased(false);
        measurements.recordRejection(nowMicros, job, reject.reason());
      }
    }
    if (!placed.isEmpty()) {
      checker.checkGuarantees(placed, nowMicros / 1000);
    }
    nowMicros += decisionMicros;
  }

  private void submit(JobState job) {
    jobs.put(job.id(), job);
    measurements.recordSubmission(job);
    if (job.request().urgent()) {
      List<JobRequest> earlierUrgent =
          waiting.values().stream().map(JobState::request).filter(JobRequest::urgent).toList();
      job.setCapacityAtSubmission(
          job.model().behaviour() != Behaviour.NEVER_FITS
              && checker.hasCapacityFor(job.request(), earlierUrgent));
    }
    waiting.put(job.id(), job);
    scheduler.jobQueued(job.request());
    decisionNeeded = true;
    submittedSinceDecision = true;
  }

  private void place(
      JobState job, Decision.Place place, long decisionMicros, List<JobState> placed) {
    if (!checker.checkPlacement(job, place, nowMicros / 1000)) {
      if (job.phase() == Phase.WAITING) {
        scheduleAt(nowMicros + START_DELAY_MICROS, () -> undoPlacement(job));
      }
      return;
    }
    waiting.remove(job.id());
    job.markPlaced(place.workers());
    fleet.allocate(job);
    placed.add(job);
    scheduleAfter(decisionMicros + START_DELAY_MICROS, job, () -> start(job));
  }

  private void undoPlacement(JobState job) {
    scheduler.gangEnded(job.id(), EndReason.UNDONE, List.of(), nowMicros / 1000);
    decisionNeeded = true;
  }

  private void start(JobState job) {
    boolean unresponsive =
        job.workers().stream().anyMatch(id -> !fleet.isResponding(fleet.indexOf(id)));
    if (unresponsive || drawUniform(job, 1) < 0.002) {
      end(job, EndReason.UNDONE, List.of());
      return;
    }
    measurements.recordStart(nowMicros, job);
    job.markStarted(nowMicros, RESTORE_MILLIS);
    List<String> faulty =
        job.workers().stream().distinct().filter(faultyWorkers::contains).toList();
    long failMicros = (long) ((5 + 55 * drawUniform(job, 2)) * SECOND_MICROS);
    if (!faulty.isEmpty() || job.model().behaviour() == Behaviour.FAILS_EVERYWHERE) {
      List<String> failed = faulty.isEmpty() ? List.of(job.workers().get(0)) : faulty;
      scheduleAfter(failMicros, job, () -> end(job, EndReason.TASK_FAILED, failed));
    } else if (job.model().usageRatio() > 1.5 && job.attempt() == 1) {
      // Above 150% of the declared size, the platform checkpoints and stops the gang.
      scheduleAfter(
          60 * SECOND_MICROS,
          job,
          () -> {
            job.checkpoint(nowMicros);
            end(job, EndReason.UNDONE, List.of());
          });
    }
    scheduleAfter(job.remainingMicros(), job, () -> end(job, EndReason.COMPLETED, List.of()));
    scheduleAfter(CHECKPOINT_INTERVAL_MICROS, job, () -> checkpoint(job));
  }

  private void checkpoint(JobState job) {
    job.checkpoint(nowMicros);
    scheduler.gangCheckpointed(job.id(), nowMicros / 1000);
    scheduleAfter(CHECKPOINT_INTERVAL_MICROS, job, () -> checkpoint(job));
  }

  private void preempt(JobState job, long decisionMicros) {
    if (!checker.checkPreemption(job, nowMicros / 1000) || job.isStopping()) {
      return;
    }
    // Checkpoints take 0.7 s in the median and 2.2 s at the 99th percentile; 5% of them fail.
    double standardNormal =
        Math.sqrt(-2 * Math.log(1 - drawUniform(job, 3)))
            * Math.cos(2 * Math.PI * drawUniform(job, 4));
    long checkpointMicros =
        (long)
            Math.min(
                CHECKPOINT_TIMEOUT_MICROS, 0.7 * SECOND_MICROS * Math.exp(0.5 * standardNormal));
    boolean checkpointed =
        drawUniform(job, 5) >= 0.05 && checkpointMicros < CHECKPOINT_TIMEOUT_MICROS;
    long lostWorkMillis =
        checkpointed ? 0 : job.completedWorkMillis(nowMicros) - job.checkpointedMillis();
    measurements.recordPreemption(job, lostWorkMillis + RESTORE_MILLIS);
    if (checkpointed) {
      job.checkpoint(nowMicros);
    }
    job.markStopping();
    scheduleAt(
        nowMicros + decisionMicros + checkpointMicros + STOP_DELAY_MICROS,
        () -> end(job, EndReason.PREEMPTED, List.of()));
  }

  private void end(JobState job, EndReason reasonUnlessCancelled, List<String> failedWorkers) {
    if (!job.holdsResources()) {
      return;
    }
    EndReason reason = job.isCancelled() ? EndReason.CANCELLED : reasonUnlessCancelled;
    boolean requeued = reason != EndReason.COMPLETED && reason != EndReason.CANCELLED;
    fleet.release(job);
    if (reason == EndReason.COMPLETED) {
      measurements.recordCompletion(nowMicros, job);
    } else if (!requeued) {
      measurements.recordCancellation(job);
    }
    job.markReleased(requeued);
    if (requeued) {
      waiting.put(job.id(), job);
    }
    scheduler.gangEnded(job.id(), reason, failedWorkers, nowMicros / 1000);
    decisionNeeded = true;
  }

  private void scheduleIncident(Incident incident) {
    long beginMicros = incident.atMillis() * 1000;
    if (incident instanceof Incident.MassCancellation cancellation) {
      scheduleAt(beginMicros, () -> cancellation.jobIds().forEach(this::cancel));
    } else if (incident instanceof Incident.FaultyWorker faultyWorker) {
      scheduleAt(beginMicros, () -> faultyWorkers.add(faultyWorker.workerId()));
      scheduleAt(
          faultyWorker.repairMillis() * 1000, () -> faultyWorkers.remove(faultyWorker.workerId()));
    } else if (incident instanceof Incident.WorkerOutage workerOutage) {
      int index = fleet.indexOf(workerOutage.workerId());
      scheduleAt(beginMicros, () -> adjustOutages(index, 1));
      scheduleAt(workerOutage.returnMillis() * 1000, () -> adjustOutages(index, -1));
    } else if (incident instanceof Incident.DataCentreOutage dataCentreOutage) {
      scheduleAt(beginMicros, () -> setOutOfService(dataCentreOutage.dataCentre(), true));
      scheduleAt(
          dataCentreOutage.silentMillis() * 1000,
          () -> adjustOutages(dataCentreOutage.dataCentre(), 1));
      scheduleAt(
          dataCentreOutage.returnMillis() * 1000,
          () -> adjustOutages(dataCentreOutage.dataCentre(), -1));
      scheduleAt(
          dataCentreOutage.returnMillis() * 1000,
          () -> setOutOfService(dataCentreOutage.dataCentre(), false));
    }
  }

  private void cancel(String jobId) {
    JobState job = jobs.get(jobId);
    if (job != null && job.phase() == Phase.WAITING) {
      waiting.remove(jobId);
      measurements.recordCancellation(job);
      job.markReleased(false);
      scheduler.jobRemoved(jobId);
      decisionNeeded = true;
    } else if (job != null && job.holdsResources()) {
      job.markCancelled();
      job.markStopping();
      scheduleAt(nowMicros + STOP_DELAY_MICROS, () -> end(job, EndReason.CANCELLED, List.of()));
    }
  }

  private void setOutOfService(String dataCentre, boolean out) {
    if (out ? dataCentresOut.add(dataCentre) : dataCentresOut.remove(dataCentre)) {
      fleet.setDataCentresOut(dataCentresOut);
      config =
          new SchedulingConfig(
              config.version() + 1,
              config.placementPolicy(),
              config.teams(),
              dataCentresOut,
              Set.of());
      scheduler.configure(config);
      decisionNeeded = true;
    }
  }

  private void adjustOutages(String dataCentre, int delta) {
    IntStream.range(0, fleet.size())
        .filter(i -> fleet.worker(i).dataCentre().equals(dataCentre))
        .forEach(i -> adjustOutages(i, delta));
  }

  private void adjustOutages(int index, int delta) {
    if (!fleet.adjustOutages(index, delta)) {
      return;
    }
    WorkerState worker = fleet.worker(index);
    boolean responding = fleet.isResponding(index);
    scheduler.workerChanged(
        new WorkerState(
            worker.workerId(), worker.rack(), worker.dataCentre(), worker.capacity(), responding));
    decisionNeeded = true;
    if (!responding) {
      for (JobState job : List.copyOf(fleet.activeJobs())) {
        if (job.workers().contains(worker.workerId())) {
          scheduleAfter(LEASE_MICROS, job, () -> end(job, EndReason.UNDONE, List.of()));
        }
      }
    }
  }

  private void tick() {
    decisionNeeded |= !waiting.isEmpty();
    scheduleAt(nowMicros + TICK_INTERVAL_MICROS, this::tick);
  }

  private void sample() {
    measurements.takeSample(nowMicros, waiting.values());
    progress.accept(nowMicros / 1000.0 / workload.endMillis());
    scheduleAt(nowMicros + SAMPLE_INTERVAL_MICROS, this::sample);
  }

  private void scheduleAt(long atMicros, Runnable action) {
    scheduledActions.add(new ScheduledAction(atMicros, nextSequence++, action));
  }

  /** Schedules an action that is skipped if the attempt of the job is stopping or has ended. */
  private void scheduleAfter(long delayMicros, JobState job, Runnable action) {
    int attempt = job.attempt();
    scheduleAt(
        nowMicros + delayMicros,
        () -> {
          boolean active = job.phase() == Phase.PREPARING || job.phase() == Phase.RUNNING;
          if (active && job.attempt() == attempt) {
            action.run();
          }
        });
  }

  /**
   * Draws a uniform number in [0, 1). It is a function of the workload's seed, the job, its attempt
   * and the stream, so that all schedulers meet the same faults and delays.
   */
  private double drawUniform(JobState job, int stream) {
    long seed = workload.seed() * 31 + job.id().hashCode();
    return new SplittableRandom((seed * 31 + job.attempt()) * 31 + stream).nextDouble();
  }
}
