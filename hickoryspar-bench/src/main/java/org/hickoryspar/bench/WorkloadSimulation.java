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
 * Runs a workload against a scheduler under a virtual clock and measures the outcome.
 *
 * <p>The clock advances to the next event, and by the real duration of each decision unless the
 * clock is ideal. With an ideal clock a run is a function of the workload alone.
 */
final class WorkloadSimulation {

  /** Time to replicate a decision, prepare all members and start them. */
  static final long START_DELAY_MICROS = 150_000;

  private static final long SECOND_MICROS = 1_000_000;
  private static final long STOP_DELAY_MICROS = 200_000;
  private static final long LEASE_MICROS = 10 * SECOND_MICROS;
  private static final long CHECKPOINT_LIMIT_MICROS = 5 * SECOND_MICROS;
  private static final long CHECKPOINT_PERIOD_MICROS = 30 * 60 * SECOND_MICROS;
  private static final long RESTORE_MILLIS = 30_000;
  private static final long TICK_MICROS = 10 * SECOND_MICROS;
  private static final long SAMPLE_MICROS = 60 * SECOND_MICROS;
  private static final int MOST_BROKEN_PROMISES = 1_000;

  private final Workload workload;
  private final Scheduler scheduler;
  private final boolean idealClock;
  private final DoubleConsumer progress;
  private final SimulatedFleet occupancy;
  private final DecisionChecker checker;
  private final Measurements measurements;
  private final Map<String, JobState> jobs = new LinkedHashMap<>();
  private final Map<String, JobState> waiting = new LinkedHashMap<>();
  private final Set<String> faultyWorkers = new HashSet<>();
  private final Set<String> dataCentresOut = new TreeSet<>();
  private final PriorityQueue<ScheduledAction> events =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledAction::atMicros)
              .thenComparingLong(ScheduledAction::order));
  private SchedulingConfig config;
  private long nowMicros;
  private long order;
  private boolean decisionNeeded;
  private boolean submissionSeen;

  private record ScheduledAction(long atMicros, long order, Runnable action) {}

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
    occupancy = new SimulatedFleet(workload.workers());
    config =
        new SchedulingConfig(1, placementPolicy, workload.config().teams(), Set.of(), Set.of());
    checker = new DecisionChecker(occupancy, scheduler, config);
    measurements = new Measurements(workload, occupancy, checker);
  }

  /** Runs the whole workload. */
  Measurements run() {
    workload.workers().forEach(scheduler::workerChanged);
    Optional<Problem> problem = scheduler.check(config).problem();
    if (problem.isPresent()) {
      throw new IllegalStateException("the configuration was refused: " + problem.get());
    }
    scheduler.configure(config);
    for (JobModel plan : workload.jobs()) {
      at(plan.request().submittedMillis() * 1000, () -> submit(new JobState(plan)));
    }
    workload.incidents().forEach(this::schedule);
    at(TICK_MICROS, this::tick);
    at(SAMPLE_MICROS, this::sample);
    long endMicros = workload.endMillis() * 1000;
    ScheduledAction next = events.poll();
    while (next != null && next.atMicros() <= endMicros && !isFinished()) {
      nowMicros = Math.max(nowMicros, next.atMicros());
      next.action().run();
      next = events.poll();
      // Everything that is due is delivered before the next decision, as a leader would do it.
      if (decisionNeeded && (next == null || next.atMicros() > nowMicros)) {
        decide();
        if (next != null) {
          events.add(next);
        }
        next = events.poll();
      }
    }
    measurements.finish(nowMicros, jobs.values());
    return measurements;
  }

  private boolean isFinished() {
    boolean submissionsOver = nowMicros > workload.submissionEndMillis() * 1000;
    return checker.totalWithoutGuarantees() >= MOST_BROKEN_PROMISES
        || (submissionsOver && measurements.openJobs() == 0);
  }

  private void decide() {
    decisionNeeded = false;
    long beginNanos = System.nanoTime();
    List<Decision> decisions = scheduler.decide(nowMicros / 1000);
    long nanos = System.nanoTime() - beginNanos;
    long micros = idealClock ? 0 : nanos / 1000;
    measurements.decided(nowMicros, nanos, submissionSeen);
    submissionSeen = false;
    List<JobState> placed = new ArrayList<>();
    for (Decision decision : decisions) {
      JobState job = jobs.get(decision.jobId());
      if (job == null) {
        throw new IllegalStateException("decision about unknown job: " + decision);
      }
      if (decision instanceof Decision.Place place) {
        place(job, place, micros, placed);
      } else if (decision instanceof Decision.Preempt) {
        preempt(job, micros);
      } else if (decision instanceof Decision.Reject reject && job.phase() == Phase.WAITING) {
        waiting.remove(job.id());
        job.released(false);
        measurements.rejected(nowMicros, job, reject.reason());
      }
    }
    if (!placed.isEmpty()) {
      checker.checkGuarantees(placed, nowMicros / 1000);
    }
    nowMicros += micros;
  }

  private void submit(JobState job) {
    jobs.put(job.id(), job);
    measurements.submitted(job);
    if (job.request().urgent()) {
      List<JobRequest> earlier =
          waiting.values().stream().map(JobState::request).filter(JobRequest::urgent).toList();
      job.setCapacityAtSubmission(
          job.plan().fate() != Behaviour.NEVER_FITS
              && checker.hasCapacityFor(job.request(), earlier));
    }
    waiting.put(job.id(), job);
    scheduler.jobQueued(job.request());
    decisionNeeded = true;
    submissionSeen = true;
  }

  private void place(JobState job, Decision.Place place, long micros, List<JobState> placed) {
    if (!checker.checkPlace(job, place, nowMicros / 1000)) {
      if (job.phase() == Phase.WAITING) {
        at(nowMicros + START_DELAY_MICROS, () -> refuse(job));
      }
      return;
    }
    waiting.remove(job.id());
    job.placed(place.workers());
    occupancy.hold(job);
    placed.add(job);
    after(micros + START_DELAY_MICROS, job, () -> start(job));
  }

  private void refuse(JobState job) {
    scheduler.gangEnded(job.id(), EndReason.UNDONE, List.of(), nowMicros / 1000);
    decisionNeeded = true;
  }

  private void start(JobState job) {
    boolean silent =
        job.workers().stream().anyMatch(id -> !occupancy.isAnswering(occupancy.indexOf(id)));
    if (silent || unit(job, 1) < 0.002) {
      end(job, EndReason.UNDONE, List.of());
      return;
    }
    measurements.started(nowMicros, job);
    job.started(nowMicros, RESTORE_MILLIS);
    List<String> faulty =
        job.workers().stream().distinct().filter(faultyWorkers::contains).toList();
    long failMicros = (long) ((5 + 55 * unit(job, 2)) * SECOND_MICROS);
    if (!faulty.isEmpty() || job.plan().fate() == Behaviour.FAILS_EVERYWHERE) {
      List<String> failed = faulty.isEmpty() ? List.of(job.workers().get(0)) : faulty;
      after(failMicros, job, () -> end(job, EndReason.TASK_FAILED, failed));
    } else if (job.plan().usageRatio() > 1.5 && job.attempt() == 1) {
      // Use over 150% of the declaration: the platform saves the work and stops the gang.
      after(
          60 * SECOND_MICROS,
          job,
          () -> {
            job.save(nowMicros);
            end(job, EndReason.UNDONE, List.of());
          });
    }
    after(job.remainingMicros(), job, () -> end(job, EndReason.COMPLETED, List.of()));
    after(CHECKPOINT_PERIOD_MICROS, job, () -> checkpoint(job));
  }

  private void checkpoint(JobState job) {
    job.save(nowMicros);
    scheduler.gangCheckpointed(job.id(), nowMicros / 1000);
    after(CHECKPOINT_PERIOD_MICROS, job, () -> checkpoint(job));
  }

  private void preempt(JobState job, long micros) {
    if (!checker.checkPreempt(job, nowMicros / 1000) || job.isStopping()) {
      return;
    }
    // The median checkpoint takes 0.7 s and the 99th percentile 2.2 s; 5% fail.
    double normal =
        Math.sqrt(-2 * Math.log(1 - unit(job, 3))) * Math.cos(2 * Math.PI * unit(job, 4));
    long checkpointMicros =
        (long) Math.min(CHECKPOINT_LIMIT_MICROS, 0.7 * SECOND_MICROS * Math.exp(0.5 * normal));
    boolean saved = unit(job, 5) >= 0.05 && checkpointMicros < CHECKPOINT_LIMIT_MICROS;
    long lostMillis = saved ? 0 : job.progressMillis(nowMicros) - job.savedMillis();
    measurements.preempted(job, lostMillis + RESTORE_MILLIS);
    if (saved) {
      job.save(nowMicros);
    }
    job.stopping();
    at(
        nowMicros + micros + checkpointMicros + STOP_DELAY_MICROS,
        () -> end(job, EndReason.PREEMPTED, List.of()));
  }

  private void end(JobState job, EndReason cause, List<String> faulty) {
    if (!job.holdsResources()) {
      return;
    }
    EndReason reason = job.isCancelled() ? EndReason.CANCELLED : cause;
    boolean queuedAgain = reason != EndReason.COMPLETED && reason != EndReason.CANCELLED;
    occupancy.release(job);
    if (reason == EndReason.COMPLETED) {
      measurements.completed(nowMicros, job);
    } else if (!queuedAgain) {
      measurements.cancelled(job);
    }
    job.released(queuedAgain);
    if (queuedAgain) {
      waiting.put(job.id(), job);
    }
    scheduler.gangEnded(job.id(), reason, faulty, nowMicros / 1000);
    decisionNeeded = true;
  }

  private void schedule(Incident incident) {
    long beginMicros = incident.atMillis() * 1000;
    if (incident instanceof Incident.MassCancellation wave) {
      at(beginMicros, () -> wave.jobIds().forEach(this::cancel));
    } else if (incident instanceof Incident.FaultyWorker faulty) {
      at(beginMicros, () -> faultyWorkers.add(faulty.workerId()));
      at(faulty.repairedMillis() * 1000, () -> faultyWorkers.remove(faulty.workerId()));
    } else if (incident instanceof Incident.WorkerOutage lost) {
      int index = occupancy.indexOf(lost.workerId());
      at(beginMicros, () -> changeSilence(index, 1));
      at(lost.backMillis() * 1000, () -> changeSilence(index, -1));
    } else if (incident instanceof Incident.DataCentreOutage away) {
      at(beginMicros, () -> takeOut(away.dataCentre(), true));
      at(away.silentMillis() * 1000, () -> changeSilence(away.dataCentre(), 1));
      at(away.backMillis() * 1000, () -> changeSilence(away.dataCentre(), -1));
      at(away.backMillis() * 1000, () -> takeOut(away.dataCentre(), false));
    }
  }

  private void cancel(String jobId) {
    JobState job = jobs.get(jobId);
    if (job != null && job.phase() == Phase.WAITING) {
      waiting.remove(jobId);
      measurements.cancelled(job);
      job.released(false);
      scheduler.jobRemoved(jobId);
      decisionNeeded = true;
    } else if (job != null && job.holdsResources()) {
      job.cancel();
      job.stopping();
      at(nowMicros + STOP_DELAY_MICROS, () -> end(job, EndReason.CANCELLED, List.of()));
    }
  }

  private void takeOut(String dataCentre, boolean out) {
    if (out ? dataCentresOut.add(dataCentre) : dataCentresOut.remove(dataCentre)) {
      occupancy.setDataCentresOut(dataCentresOut);
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

  private void changeSilence(String dataCentre, int causes) {
    IntStream.range(0, occupancy.size())
        .filter(i -> occupancy.worker(i).dataCentre().equals(dataCentre))
        .forEach(i -> changeSilence(i, causes));
  }

  private void changeSilence(int index, int causes) {
    if (!occupancy.changeSilence(index, causes)) {
      return;
    }
    WorkerState known = occupancy.worker(index);
    boolean answering = occupancy.isAnswering(index);
    scheduler.workerChanged(
        new WorkerState(
            known.workerId(), known.rack(), known.dataCentre(), known.capacity(), answering));
    decisionNeeded = true;
    if (!answering) {
      for (JobState job : List.copyOf(occupancy.holders())) {
        if (job.workers().contains(known.workerId())) {
          after(LEASE_MICROS, job, () -> end(job, EndReason.UNDONE, List.of()));
        }
      }
    }
  }

  private void tick() {
    decisionNeeded |= !waiting.isEmpty();
    at(nowMicros + TICK_MICROS, this::tick);
  }

  private void sample() {
    measurements.sample(nowMicros, waiting.values());
    progress.accept(nowMicros / 1000.0 / workload.endMillis());
    at(nowMicros + SAMPLE_MICROS, this::sample);
  }

  private void at(long atMicros, Runnable action) {
    events.add(new ScheduledAction(atMicros, order++, action));
  }

  /** Runs an action after a delay unless the job has lost its resources by then. */
  private void after(long delayMicros, JobState job, Runnable action) {
    int attempt = job.attempt();
    at(
        nowMicros + delayMicros,
        () -> {
          boolean current = job.phase() == Phase.PREPARING || job.phase() == Phase.RUNNING;
          if (current && job.attempt() == attempt) {
            action.run();
          }
        });
  }

  /** Returns a number in [0, 1) that depends on the workload's seed and not on the scheduler. */
  private double unit(JobState job, int purpose) {
    long seed = workload.seed() * 31 + job.id().hashCode();
    return new SplittableRandom((seed * 31 + job.attempt()) * 31 + purpose).nextDouble();
  }
}
