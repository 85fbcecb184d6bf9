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
  static final long FAST_MILLIS = 120_000;

  /** Back-off before the first probe of an isolated worker; doubled after each failed probe. */
  static final long FIRST_BACKOFF_MILLIS = 60_000;

  private static final long MOST_BACKOFF_MILLIS = 3_600_000;

  /** Fast failures older than this no longer count against a worker. */
  private static final long FORGET_MILLIS = 3_600_000;

  private static final int JOBS_TO_ISOLATE = 3;
  private static final int WORKERS_TO_REJECT = 3;

  /** Ends a job that fails without a healthy worker to blame, or in a fleet below 3 workers. */
  private static final int FAILURES_TO_REJECT = 8;

  private enum IsolationState {
    WATCHED,
    ISOLATED,
    AWAITING_PROBE,
    PROBED
  }

  private static final class WorkerRecord {
    private final Map<String, Long> fastFailures = new LinkedHashMap<>();
    private IsolationState phase = IsolationState.WATCHED;
    private long backoffMillis = FIRST_BACKOFF_MILLIS;
    private long sinceMillis;
    private String probe = "";
  }

  private static final class JobRecord {
    private final Set<String> healthyWorkers = new LinkedHashSet<>();
    private final Set<String> avoided = new LinkedHashSet<>();
    private int failures;
  }

  private final TreeMap<String, WorkerRecord> workers = new TreeMap<>();
  private final Map<String, JobRecord> jobs = new HashMap<>();
  private int awaitingProbe;

  /** Returns whether a worker may get no job, or no other job than the one that probes it. */
  boolean isIsolated(String worker) {
    WorkerRecord known = workers.get(worker);
    return known != null
        && (known.phase == IsolationState.ISOLATED || known.phase == IsolationState.PROBED);
  }

  /** Returns whether a worker may get one job that probes it. */
  boolean isAwaitingProbe(String worker) {
    WorkerRecord known = awaitingProbe == 0 ? null : workers.get(worker);
    return known != null && known.phase == IsolationState.AWAITING_PROBE;
  }

  boolean hasAwaitingProbe() {
    return awaitingProbe > 0;
  }

  List<String> isolated() {
    List<String> found = new ArrayList<>();
    workers.forEach(
        (worker, known) -> {
          if (known.phase != IsolationState.WATCHED) {
            found.add(worker);
          }
        });
    return found;
  }

  boolean hasFailed(String jobId) {
    return jobs.containsKey(jobId);
  }

  /**
   * Returns the workers on which a job failed or could not start, so that it is tried on others.
   */
  Set<String> failedOn(String jobId) {
    JobRecord known = jobs.get(jobId);
    return known == null ? Set.of() : known.avoided;
  }

  /** Returns why a job must be ended, or null if it may be tried again. */
  @Nullable String rejection(String jobId) {
    JobRecord known = jobs.get(jobId);
    if (known == null) {
      return null;
    }
    // A gang may fail on several workers at once when a switch fails, so attempts count as well.
    if (known.healthyWorkers.size() >= WORKERS_TO_REJECT && known.failures >= WORKERS_TO_REJECT) {
      return "Job "
          + jobId
          + " failed on healthy workers "
          + String.join(", ", known.healthyWorkers)
          + ", so the fault is attributed to the job; correct it and submit it again.";
    }
    return known.failures >= FAILURES_TO_REJECT
        ? "Job " + jobId + " failed " + known.failures + " times; correct it and submit it again."
        : null;
  }

  /** Records a placement; returns the worker that it probes, or null. */
  @Nullable String placed(String jobId, List<String> placedOn, long nowMillis) {
    String worker = placedOn.get(0);
    if (!isAwaitingProbe(worker)) {
      return null;
    }
    WorkerRecord known = record(worker);
    enter(known, IsolationState.PROBED, nowMillis);
    known.probe = jobId;
    return worker;
  }

  /** Records an end; returns the workers whose state has changed. */
  List<String> ended(
      Gang gang, EndReason reason, List<String> placedOn, List<String> faulty, long nowMillis) {
    String jobId = gang.job().jobId();
    List<String> changed = new ArrayList<>();
    if (reason == EndReason.COMPLETED) {
      for (String worker : placedOn) {
        if (workers.containsKey(worker) && clear(worker, jobId)) {
          changed.add(worker);
        }
      }
    } else {
      for (String worker : placedOn) {
        WorkerRecord known = workers.get(worker);
        if (known != null
            && known.phase == IsolationState.PROBED
            && known.probe.equals(jobId)
            && !faulty.contains(worker)) {
          enter(known, IsolationState.AWAITING_PROBE, nowMillis);
          changed.add(worker);
        }
      }
    }
    if (reason == EndReason.UNDONE && !faulty.isEmpty()) {
      // A lost worker or a refused start says nothing about the job; other workers are tried first.
      jobs.computeIfAbsent(jobId, id -> new JobRecord()).avoided.addAll(faulty);
    }
    if (reason == EndReason.TASK_FAILED) {
      boolean fast = nowMillis - gang.startedMillis() <= FAST_MILLIS;
      failed(jobId, new LinkedHashSet<>(faulty), fast, nowMillis, changed);
    }
    return changed;
  }

  private void failed(
      String jobId, Set<String> faulty, boolean fast, long nowMillis, List<String> changed) {
    JobRecord job = jobs.computeIfAbsent(jobId, id -> new JobRecord());
    job.failures++;
    job.avoided.addAll(faulty);
    for (String worker : faulty) {
      WorkerRecord known = record(worker);
      if (known.phase == IsolationState.WATCHED) {
        job.healthyWorkers.add(worker);
      }
      if (fast) {
        known.fastFailures.put(jobId, nowMillis);
      }
      known.fastFailures.values().removeIf(at -> at + FORGET_MILLIS < nowMillis);
      boolean probeFailed = known.phase == IsolationState.PROBED && known.probe.equals(jobId);
      if (probeFailed) {
        known.backoffMillis = Math.min(MOST_BACKOFF_MILLIS, known.backoffMillis * 2);
      }
      boolean suspect =
          known.phase == IsolationState.WATCHED && known.fastFailures.size() >= JOBS_TO_ISOLATE;
      if (suspect || probeFailed) {
        isolate(worker, known, nowMillis);
        changed.add(worker);
      } else if (known.phase == IsolationState.WATCHED && known.fastFailures.isEmpty()) {
        workers.remove(worker);
      }
    }
  }

  private void isolate(String worker, WorkerRecord known, long nowMillis) {
    enter(known, IsolationState.ISOLATED, nowMillis);
    // Failures on a faulty worker do not speak against the jobs.
    for (String jobId : known.fastFailures.keySet()) {
      JobRecord job = jobs.get(jobId);
      if (job != null && job.healthyWorkers.remove(worker)) {
        job.failures--;
      }
    }
  }

  /** Ends back-offs and probes that have lasted long enough; returns the workers concerned. */
  List<String> due(long nowMillis) {
    List<String> changed = new ArrayList<>();
    for (Map.Entry<String, WorkerRecord> entry : List.copyOf(workers.entrySet())) {
      WorkerRecord known = entry.getValue();
      long passedMillis = nowMillis - known.sinceMillis;
      if (known.phase == IsolationState.ISOLATED && passedMillis >= known.backoffMillis) {
        enter(known, IsolationState.AWAITING_PROBE, nowMillis);
        changed.add(entry.getKey());
      } else if (known.phase == IsolationState.PROBED && passedMillis > FAST_MILLIS) {
        workers.remove(entry.getKey());
        changed.add(entry.getKey());
      }
    }
    return changed;
  }

  void forgetJob(String jobId) {
    jobs.remove(jobId);
  }

  /** Clears a job that is ended as faulty from the records of the workers it failed on. */
  void blameJob(String jobId) {
    for (String worker : Set.copyOf(failedOn(jobId))) {
      WorkerRecord known = workers.get(worker);
      if (known != null) {
        known.fastFailures.remove(jobId);
      }
    }
    jobs.remove(jobId);
  }

  void forgetWorker(String worker) {
    WorkerRecord known = workers.remove(worker);
    if (known != null && known.phase == IsolationState.AWAITING_PROBE) {
      awaitingProbe--;
    }
  }

  /** Clears a worker on which a job has completed; returns whether it was isolated until now. */
  private boolean clear(String worker, String jobId) {
    WorkerRecord known = record(worker);
    if (known.phase == IsolationState.WATCHED) {
      workers.remove(worker);
      return false;
    }
    if (known.phase == IsolationState.PROBED && known.probe.equals(jobId)) {
      workers.remove(worker);
      return true;
    }
    return false;
  }

  private void enter(WorkerRecord known, IsolationState phase, long nowMillis) {
    awaitingProbe -= known.phase == IsolationState.AWAITING_PROBE ? 1 : 0;
    awaitingProbe += phase == IsolationState.AWAITING_PROBE ? 1 : 0;
    known.phase = phase;
    known.sinceMillis = nowMillis;
    known.probe = "";
  }

  private WorkerRecord record(String worker) {
    return workers.computeIfAbsent(worker, name -> new WorkerRecord());
  }
}
