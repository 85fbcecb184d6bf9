package org.hickoryspar.bench;

import java.util.List;
import java.util.Optional;
import org.hickoryspar.kernel.scheduling.Adjacency;
import org.hickoryspar.kernel.scheduling.Decision;
import org.hickoryspar.kernel.scheduling.EndReason;
import org.hickoryspar.kernel.scheduling.GangShape;
import org.hickoryspar.kernel.scheduling.JobRequest;
import org.hickoryspar.kernel.scheduling.ResourceVector;
import org.hickoryspar.kernel.scheduling.Scheduler;

/**
 * A scheduler loaded with jobs of the deployment {@code two-years}, for measurements of single
 * decisions.
 */
final class SteadyState {

  private static final long SEED = 1;

  private final Scheduler scheduler;
  private long nowMillis = 1;
  private int runningTasks;
  private int waitingJobs;

  /**
   * Creates a scheduler and submits the load.
   *
   * @param variant the scheduler
   * @param workers number of workers
   * @param tasks maximum number of running tasks; jobs that would exceed it are not submitted
   * @param waitingLargeGangs number of large gangs that are submitted in addition; each waits
   *     because it needs more than the free resources
   */
  SteadyState(Variant variant, int workers, int tasks, int waitingLargeGangs) {
    scheduler = variant.newScheduler();
    Workload workload = WorkloadGenerator.generate(Deployment.twoYears(workers), SEED);
    workload.workers().forEach(scheduler::workerChanged);
    scheduler.configure(workload.config());
    List<JobRequest> initialJobs =
        workload.jobs().stream().filter(JobModel::warmUp).map(JobModel::request).toList();
    for (JobRequest job : initialJobs) {
      if (runningTasks + job.shape().tasks() <= tasks) {
        scheduler.jobQueued(job);
        decideAndApply();
      }
    }
    queueLargeGangs(workload, waitingLargeGangs);
    decideAndApply();
  }

  Scheduler scheduler() {
    return scheduler;
  }

  int runningTasks() {
    return runningTasks;
  }

  int waitingJobs() {
    return waitingJobs;
  }

  long nowMillis() {
    return nowMillis;
  }

  /** Returns an urgent job with one task, which stands for a typical submission. */
  JobRequest newJob(String team, long number) {
    GangShape shape = new GangShape(1, new ResourceVector(4, 16_000, 1), Adjacency.NONE);
    return new JobRequest("probe-" + number, team, "urgent", shape, true, 60_000, false, nowMillis);
  }

  /** Ends or removes the job of a measured decision and completes the decided preemptions. */
  void undo(JobRequest job, List<Decision> decisions) {
    nowMillis += 1_000;
    boolean placed = false;
    for (Decision decision : decisions) {
      if (decision instanceof Decision.Preempt) {
        scheduler.gangEnded(decision.jobId(), EndReason.PREEMPTED, List.of(), nowMillis);
      }
      placed |= decision instanceof Decision.Place && decision.jobId().equals(job.jobId());
    }
    if (placed) {
      scheduler.gangEnded(job.jobId(), EndReason.CANCELLED, List.of(), nowMillis);
    } else {
      scheduler.jobRemoved(job.jobId());
    }
    decideAndApply();
  }

  /** Applies pending decisions, so that each measured call has the same amount of work. */
  void decideAndApply() {
    for (Decision decision : scheduler.decide(nowMillis)) {
      if (decision instanceof Decision.Place place) {
        runningTasks += place.workers().size();
      } else if (decision instanceof Decision.Preempt) {
        scheduler.gangEnded(decision.jobId(), EndReason.PREEMPTED, List.of(), nowMillis);
      }
    }
  }

  private void queueLargeGangs(Workload workload, int count) {
    Optional<JobRequest> largeGang =
        workload.jobs().stream()
            .map(JobModel::request)
            .filter(job -> job.kind().equals("large-gang"))
            .findFirst();
    for (int i = 0; i < count && largeGang.isPresent(); i++) {
      JobRequest template = largeGang.get();
      int team = i % workload.config().teams().size();
      scheduler.jobQueued(
          new JobRequest(
              "waiting-" + i,
              workload.config().teams().get(team).team(),
              template.kind(),
              template.shape(),
              false,
              template.declaredRunMillis(),
              true,
              nowMillis));
      waitingJobs++;
    }
  }
}
