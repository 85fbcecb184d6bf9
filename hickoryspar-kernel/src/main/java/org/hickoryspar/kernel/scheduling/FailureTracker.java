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

/**
 * Attributes task failures to faulty workers, which are isolated, or to faulty jobs, which are
 * rejected.
 */
final class FailureTracker {

  /** A failure within this time of the start counts against the worker. */
  static final long FAST_FAILURE_MILLIS = 120_000;

  /** Backoff before the first probe of an isolated worker; doubled after each failed probe. */
  static final long INITIAL_BACKOFF_MILLIS = 60_000;

  private static final long MAX_BACKOFF_MILLIS = 3_600_000;

  /** Time for which a fast failure counts against a worker. */
  private static final long FAILURE_WINDOW_MILLIS = 3_600_000;

  /** Number of jobs with a fast failure on a worker before it is isolated. */
  private static final int ISOLATION_THRESHOLD = 3;

  /** Number of healthy workers on which a job must fail before it is rejected. */
  private static final int REJECTION_WORKER_THRESHOLD = 3;

  /**
   * Number of failures after which a job is rejected even if it failed on fewer healthy workers,
   * for example in a fleet of fewer than 3 workers.
   */
  private static final int REJECTION_FAILURE_THRESHOLD = 8;

  private enum IsolationState {
    /** Failures are counted, but the worker is not isolated. */
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
    private final Set<String> failedHealthyWorkers = new LinkedHashSet<>();
    private final Set<String> avoidedWorkers = new LinkedHashSet<>();
    private int failureCount;
  }

  private final TreeMap<String, WorkerRecord> workers = new TreeMap<>();
  private final Map<String, JobRecord> jobs = new HashMap<>();
  private int awaitingProbeCount;

  /** Returns whether no further job may start on a worker: it is isolated or being probed. */
  boolean isExcluded(String worker) {
    WorkerRecord workerRecord = workers.get(worker);
    return workerRecord != null
        && (workerRecord.state == IsolationState.ISOLATED
            || workerRecord.state == IsolationState.PROBED);
  }

  /** Returns whether the backoff of a worker has ended, so that one job may probe it. */
  boolean isAwaitingProbe(String worker) {
    WorkerRecord workerRecord = awaitingProbeCount == 0 ? null : workers.get(worker);
    return workerRecord != null && workerRecord.state == IsolationState.AWAITING_PROBE;
  }

  boolean hasAwaitingProbe() {
    return awaitingProbeCount > 0;
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

  /** Returns whether a job has failed, or was undone because of a faulty worker. */
  boolean hasFailed(String jobId) {
    return jobs.containsKey(jobId);
  }

  /** Returns the workers on which a job failed or could not start; others are preferred. */
  Set<String> avoidedWorkers(String jobId) {
    JobRecord jobRecord = jobs.get(jobId);
    return jobRecord == null ? Set.of() : jobRecord.avoidedWorkers;
  }

  /** Returns why a job must be rejected, or null if it may be tried again. */
  @Nullable String rejectionReason(String jobId) {
    JobRecord jobRecord = jobs.get(jobId);
    if (jobRecord == null) {
      return null;
    }
    // A failed network switch can make a gang fail on several workers at once, so the number of
    // failures must reach the threshold as well.
    if (jobRecord.failedHealthyWorkers.size() >= REJECTION_WORKER_THRESHOLD
        && jobRecord.failureCount >= REJECTION_WORKER_THRESHOLD) {
      return "Job "
          + jobId
          + " failed on healthy workers "
          + String.join(", ", jobRecord.failedHealthyWorkers)
          + ", so the fault is attributed to the job; correct it and submit it again.";
    }
    return jobRecord.failureCount >= REJECTION_FAILURE_THRESHOLD
        ? "Job "
            + jobId
            + " failed "
            + jobRecord.failureCount
            + " times; correct it and submit it again."
        : null;
  }

  /**
   * Records the placement of a gang on one worker; returns the worker if the gang probes it, else
   * null.
   */
  @Nullable String recordPlacement(String jobId, List<String> workerIds, long nowMillis) {
    String worker = workerIds.get(0);
    if (!isAwaitingProbe(worker)) {
      return null;
    }
    WorkerRecord workerRecord = recordOf(worker);
    setState(workerRecord, IsolationState.PROBED, nowMillis);
    workerRecord.probeJobId = jobId;
    return worker;
  }

  /** Records the end of a gang; returns the workers whose state has changed. */
  List<String> recordEnd(
      Gang gang,
      EndReason reason,
      List<String> workerIds,
      List<String> faultyWorkers,
      long nowMillis) {
    String jobId = gang.job().jobId();
    List<String> changedWorkers = new ArrayList<>();
    if (reason == EndReason.COMPLETED) {
      for (String worker : workerIds) {
        if (workers.containsKey(worker) && recordCompletion(worker, jobId)) {
          changedWorkers.add(worker);
        }
      }
    } else {
      for (String worker : workerIds) {
        WorkerRecord workerRecord = workers.get(worker);
        if (workerRecord != null
            && workerRecord.state == IsolationState.PROBED
            && workerRecord.probeJobId.equals(jobId)
            && !faultyWorkers.contains(worker)) {
          setState(workerRecord, IsolationState.AWAITING_PROBE, nowMillis);
          changedWorkers.add(worker);
        }
      }
    }
    if (reason == EndReason.UNDONE && !faultyWorkers.isEmpty()) {
      // A lost worker or a refused start does not count as a failure of the job; other workers are
      // tried first.
      jobs.computeIfAbsent(jobId, id -> new JobRecord()).avoidedWorkers.addAll(faultyWorkers);
    }
    if (reason == EndReason.TASK_FAILED) {
      boolean fast = nowMillis - gang.startedMillis() <= FAST_FAILURE_MILLIS;
      recordFailure(jobId, new LinkedHashSet<>(faultyWorkers), fast, nowMillis, changedWorkers);
    }
    return changedWorkers;
  }

  private void recordFailure(
      String jobId,
      Set<String> faultyWorkers,
      boolean fast,
      long nowMillis,
      List<String> changedWorkers) {
    JobRecord jobRecord = jobs.computeIfAbsent(jobId, id -> new JobRecord());
    jobRecord.failureCount++;
    jobRecord.avoidedWorkers.addAll(faultyWorkers);
    for (String worker : faultyWorkers) {
      WorkerRecord workerRecord = recordOf(worker);
      if (workerRecord.state == IsolationState.WATCHED) {
        jobRecord.failedHealthyWorkers.add(worker);
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
              && workerRecord.fastFailureMillisByJob.size() >= ISOLATION_THRESHOLD;
      if (shouldIsolate || probeFailed) {
        isolate(worker, workerRecord, nowMillis);
        changedWorkers.add(worker);
      } else if (workerRecord.state == IsolationState.WATCHED
          && workerRecord.fastFailureMillisByJob.isEmpty()) {
        workers.remove(worker);
      }
    }
  }

  private void isolate(String worker, WorkerRecord workerRecord, long nowMillis) {
    setState(workerRecord, IsolationState.ISOLATED, nowMillis);
    // Failures on a faulty worker do not count against the jobs.
    for (String jobId : workerRecord.fastFailureMillisByJob.keySet()) {
      JobRecord jobRecord = jobs.get(jobId);
      if (jobRecord != null && jobRecord.failedHealthyWorkers.remove(worker)) {
        jobRecord.failureCount--;
      }
    }
  }

  /**
   * Ends the backoffs that have elapsed, and the isolation of workers whose probe has run for
   * longer than {@link #FAST_FAILURE_MILLIS}; returns the workers whose state has changed.
   */
  List<String> advance(long nowMillis) {
    List<String> changedWorkers = new ArrayList<>();
    for (Map.Entry<String, WorkerRecord> entry : List.copyOf(workers.entrySet())) {
      WorkerRecord workerRecord = entry.getValue();
      long elapsedMillis = nowMillis - workerRecord.stateSinceMillis;
      if (workerRecord.state == IsolationState.ISOLATED
          && elapsedMillis >= workerRecord.backoffMillis) {
        setState(workerRecord, IsolationState.AWAITING_PROBE, nowMillis);
        changedWorkers.add(entry.getKey());
      } else if (workerRecord.state == IsolationState.PROBED
          && elapsedMillis > FAST_FAILURE_MILLIS) {
        workers.remove(entry.getKey());
        changedWorkers.add(entry.getKey());
      }
    }
    return changedWorkers;
  }

  void removeJob(String jobId) {
    jobs.remove(jobId);
  }

  /** Removes the failures of a rejected job, which do not count against its workers. */
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
      awaitingProbeCount--;
    }
  }

  /**
   * Records that a job has completed on a worker, which clears its failures or ends its isolation;
   * returns whether it was isolated.
   */
  private boolean recordCompletion(String worker, String jobId) {
    WorkerRecord workerRecord = recordOf(worker);
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
    awaitingProbeCount -= workerRecord.state == IsolationState.AWAITING_PROBE ? 1 : 0;
    awaitingProbeCount += state == IsolationState.AWAITING_PROBE ? 1 : 0;
    workerRecord.state = state;
    workerRecord.stateSinceMillis = nowMillis;
    workerRecord.probeJobId = "";
  }

  private WorkerRecord recordOf(String worker) {
    return workers.computeIfAbsent(worker, name -> new WorkerRecord());
  }
}
