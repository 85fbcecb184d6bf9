package org.hickoryspar.kernel.scheduling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** Tells workers that fail every job from jobs that fail on every worker. */
final class FailureTracker {

  /** A failure within this time of the start is fast: it speaks about the worker. */
  static final long FAST_FAILURE_MILLIS = 120_000;

  /** Back-off before the first probe of an isolated worker; doubled after each failed probe. */
  static final long INITIAL_BACKOFF_MILLIS = 60_000;

  private static final long MAX_BACKOFF_MILLIS = 3_600_000;

  /** Fast failures older than this no longer count against a worker. */
  private static final long FAILURE_WINDOW_MILLIS = 3_600_000;

  private static final int FAILED_JOBS_TO_ISOLATE = 3;
  private static final int HEALTHY_WORKERS_TO_REJECT = 3;

  /** Ends a job that fails without a healthy worker to blame, or in a fleet below 3 workers. */
  private static final int FAILURES_TO_REJECT = 8;

  private enum IsolationState {
    WATCHED,
    ISOLATED,
    AWAITING_PROBE,
    PROBED
  }

  private static final class WorkerRecord {
    private final Map<String, Long> fastFailureMillisByJob = new LinkedHashMap<>();
    private IsolationState state = IsolationState.WATCHED;
    private long backoffMillis = INITIAL_BACKOFF_MILLIS;
    private long stateSinceMillis;
    private String probeJobId = "";
  }

  private static final class JobRecord {
    private final Set<String> healthyWorkers = new LinkedHashSet<>();
    private final Set<String> avoidedWorkers = new LinkedHashSet<>();
    private int failures;
  }

  private final TreeMap<String, WorkerRecord> workers = new TreeMap<>();
  private final Map<String, JobRecord> jobs = new HashMap<>();
  private int awaitingProbe;

  /** Returns whether a worker may get no job, or no other job than the one that probes it. */
  boolean isIsolated(String worker) {
    WorkerRecord workerRecord = workers.get(worker);
    return workerRecord != null
        && (workerRecord.state == IsolationState.ISOLATED
            || workerRecord.state == IsolationState.PROBED);
  }

  /** Returns whether a worker may get one job that probes it. */
  boolean isAwaitingProbe(String worker) {
    WorkerRecord workerRecord = awaitingProbe == 0 ? null : workers.get(worker);
    return workerRecord != null && workerRecord.state == IsolationState.AWAITING_PROBE;
  }

  boolean hasAwaitingProbe() {
    return awaitingProbe > 0;
  }

  List<String> isolatedWorkers() {
    List<String> isolated = new ArrayList<>();
    workers.forEach(
        (worker, workerRecord) -> {
          if (workerRecord.state != IsolationState.WATCHED) {
            isolated.add(worker);
          }
        });
    return isolated;
  }

  boolean hasFailed(String jobId) {
    return jobs.containsKey(jobId);
  }

  /**
   * Returns the workers on which a job failed or could not start, so that it is tried on others.
   */
  Set<String> avoidedWorkers(String jobId) {
    JobRecord jobRecord = jobs.get(jobId);
    return jobRecord == null ? Set.of() : jobRecord.avoidedWorkers;
  }

  /** Returns why a job must be ended, or null if it may be tried again. */
  @Nullable String rejectionReason(String jobId) {
    JobRecord jobRecord = jobs.get(jobId);
    if (jobRecord == null) {
      return null;
    }
    // A gang may fail on several workers at once when a switch fails, so attempts count as well.
    if (jobRecord.healthyWorkers.size() >= HEALTHY_WORKERS_TO_REJECT
        && jobRecord.failures >= HEALTHY_WORKERS_TO_REJECT) {
      return "Job "
          + jobId
          + " failed on healthy workers "
          + String.join(", ", jobRecord.healthyWorkers)
          + ", so the fault is attributed to the job; correct it and submit it again.";
    }
    return jobRecord.failures >= FAILURES_TO_REJECT
        ? "Job "
            + jobId
            + " failed "
            + jobRecord.failures
            + " times; correct it and submit it again."
        : null;
  }

  /** Records a placement; returns the worker that it probes, or null. */
  @Nullable String recordPlacement(String jobId, List<String> placedOn, long nowMillis) {
    String worker = placedOn.get(0);
    if (!isAwaitingProbe(worker)) {
      return null;
    }
    WorkerRecord workerRecord = record(worker);
    setState(workerRecord, IsolationState.PROBED, nowMillis);
    workerRecord.probeJobId = jobId;
    return worker;
  }

  /** Records an end; returns the workers whose state has changed. */
  List<String> recordEnd(
      Gang gang,
      EndReason reason,
      List<String> placedOn,
      List<String> faultyWorkers,
      long nowMillis) {
    String jobId = gang.job().jobId();
    List<String> changed = new ArrayList<>();
    if (reason == EndReason.COMPLETED) {
      for (String worker : placedOn) {
        if (workers.containsKey(worker) && recordCompletion(worker, jobId)) {
          changed.add(worker);
        }
      }
    } else {
      for (String worker : placedOn) {
        WorkerRecord workerRecord = workers.get(worker);
        if (workerRecord != null
            && workerRecord.state == IsolationState.PROBED
            && workerRecord.probeJobId.equals(jobId)
            && !faultyWorkers.contains(worker)) {
          setState(workerRecord, IsolationState.AWAITING_PROBE, nowMillis);
          changed.add(worker);
        }
      }
    }
    if (reason == EndReason.UNDONE && !faultyWorkers.isEmpty()) {
      // A lost worker or a refused start says nothing about the job; other workers are tried first.
      jobs.computeIfAbsent(jobId, id -> new JobRecord()).avoidedWorkers.addAll(faultyWorkers);
    }
    if (reason == EndReason.TASK_FAILED) {
      boolean fast = nowMillis - gang.startedMillis() <= FAST_FAILURE_MILLIS;
      recordFailure(jobId, new LinkedHashSet<>(faultyWorkers), fast, nowMillis, changed);
    }
    return changed;
  }

  private void recordFailure(
      String jobId, Set<String> faultyWorkers, boolean fast, long nowMillis, List<String> changed) {
    JobRecord jobRecord = jobs.computeIfAbsent(jobId, id -> new JobRecord());
    jobRecord.failures++;
    jobRecord.avoidedWorkers.addAll(faultyWorkers);
    for (String worker : faultyWorkers) {
      WorkerRecord workerRecord = record(worker);
      if (workerRecord.state == IsolationState.WATCHED) {
        jobRecord.healthyWorkers.add(worker);
      }
      if (fast) {
        workerRecord.fastFailureMillisByJob.put(jobId, nowMillis);
      }
      workerRecord
          .fastFailureMillisByJob
          .values()
          .removeIf(failedMillis -> failedMillis + FAILURE_WINDOW_MILLIS < nowMillis);
      boolean probeFailed =
          workerRecord.state == IsolationState.PROBED && workerRecord.probeJobId.equals(jobId);
      if (probeFailed) {
        workerRecord.backoffMillis = Math.min(MAX_BACKOFF_MILLIS, workerRecord.backoffMillis * 2);
      }
      boolean shouldIsolate =
          workerRecord.state == IsolationState.WATCHED
              && workerRecord.fastFailureMillisByJob.size() >= FAILED_JOBS_TO_ISOLATE;
      if (shouldIsolate || probeFailed) {
        isolate(worker, workerRecord, nowMillis);
        changed.add(worker);
      } else if (workerRecord.state == IsolationState.WATCHED
          && workerRecord.fastFailureMillisByJob.isEmpty()) {
        workers.remove(worker);
      }
    }
  }

  private void isolate(String worker, WorkerRecord workerRecord, long nowMillis) {
    setState(workerRecord, IsolationState.ISOLATED, nowMillis);
    // Failures on a faulty worker do not speak against the jobs.
    for (String jobId : workerRecord.fastFailureMillisByJob.keySet()) {
      JobRecord jobRecord = jobs.get(jobId);
      if (jobRecord != null && jobRecord.healthyWorkers.remove(worker)) {
        jobRecord.failures--;
      }
    }
  }

  /** Ends back-offs and probes that have lasted long enough; returns the workers concerned. */
  List<String> advance(long nowMillis) {
    List<String> changed = new ArrayList<>();
    for (Map.Entry<String, WorkerRecord> entry : List.copyOf(workers.entrySet())) {
      WorkerRecord workerRecord = entry.getValue();
      long elapsedMillis = nowMillis - workerRecord.stateSinceMillis;
      if (workerRecord.state == IsolationState.ISOLATED
          && elapsedMillis >= workerRecord.backoffMillis) {
        setState(workerRecord, IsolationState.AWAITING_PROBE, nowMillis);
        changed.add(entry.getKey());
      } else if (workerRecord.state == IsolationState.PROBED
          && elapsedMillis > FAST_FAILURE_MILLIS) {
        workers.remove(entry.getKey());
        changed.add(entry.getKey());
      }
    }
    return changed;
  }

  void removeJob(String jobId) {
    jobs.remove(jobId);
  }

  /** Clears a job that is ended as faulty from the records of the workers it failed on. */
  void recordRejection(String jobId) {
    for (String worker : Set.copyOf(avoidedWorkers(jobId))) {
      WorkerRecord workerRecord = workers.get(worker);
      if (workerRecord != null) {
        workerRecord.fastFailureMillisByJob.remove(jobId);
      }
    }
    jobs.remove(jobId);
  }

  void removeWorker(String worker) {
    WorkerRecord workerRecord = workers.remove(worker);
    if (workerRecord != null && workerRecord.state == IsolationState.AWAITING_PROBE) {
      awaitingProbe--;
    }
  }

  /** Clears a worker on which a job has completed; returns whether it was isolated until now. */
  private boolean recordCompletion(String worker, String jobId) {
    WorkerRecord workerRecord = record(worker);
    if (workerRecord.state == IsolationState.WATCHED) {
      workers.remove(worker);
      return false;
    }
    if (workerRecord.state == IsolationState.PROBED && workerRecord.probeJobId.equals(jobId)) {
      workers.remove(worker);
      return true;
    }
    return false;
  }

  private void setState(WorkerRecord workerRecord, IsolationState state, long nowMillis) {
    awaitingProbe -= workerRecord.state == IsolationState.AWAITING_PROBE ? 1 : 0;
    awaitingProbe += state == IsolationState.AWAITING_PROBE ? 1 : 0;
    workerRecord.state = state;
    workerRecord.stateSinceMillis = nowMillis;
    workerRecord.probeJobId = "";
  }

  private WorkerRecord record(String worker) {
    return workers.computeIfAbsent(worker, name -> new WorkerRecord());
  }
}
