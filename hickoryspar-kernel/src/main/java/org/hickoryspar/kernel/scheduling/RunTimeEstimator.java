package org.hickoryspar.kernel.scheduling;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/** Estimates how long jobs run; registered in {@code META-INF/services}. */
public interface RunTimeEstimator {

  /**
   * Returns the name under which the estimator is chosen.
   *
   * @return the name, for example {@code "learned"}
   */
  String name();

  /**
   * Estimates the whole run time of a job.
   *
   * @param job the job
   * @return milliseconds, or empty when there is no basis for an estimate
   */
  OptionalLong estimateMillis(JobRequest job);

  /**
   * Records that a job has completed without an interruption.
   *
   * @param job the job
   * @param runMillis how long it ran
   */
  void recordCompletion(JobRequest job, long runMillis);

  /** Learns from the last run times of the same team and kind; ignores what teams declare. */
  final class Learned implements RunTimeEstimator {

    /** Fewer runs than this say too little. */
    private static final int MIN_RUNS = 3;

    private static final int MAX_RUNS = 16;
    private static final int MAX_KINDS = 2_048;

    private record Kind(String team, String kind) {}

    private final Map<Kind, Deque<Long>> recentRunsByKind = new LinkedHashMap<>(16, 0.75f, true);

    /** Makes an estimator without history; called by {@code ServiceLoader}. */
    public Learned() {}

    @Override
    public String name() {
      return "learned";
    }

    /** Returns the 90th percentile of the last runs: an early end costs less than a late one. */
    @Override
    public OptionalLong estimateMillis(JobRequest job) {
      Deque<Long> recentRuns = recentRunsByKind.get(new Kind(job.team(), job.kind()));
      if (recentRuns == null || recentRuns.size() < MIN_RUNS) {
        return OptionalLong.empty();
      }
      long[] sorted = recentRuns.stream().mapToLong(Long::longValue).sorted().toArray();
      return OptionalLong.of(sorted[(sorted.length * 9 - 1) / 10]);
    }

    @Override
    public void recordCompletion(JobRequest job, long runMillis) {
      Deque<Long> recentRuns =
          recentRunsByKind.computeIfAbsent(
              new Kind(job.team(), job.kind()), key -> new ArrayDeque<>());
      recentRuns.addLast(runMillis);
      if (recentRuns.size() > MAX_RUNS) {
        recentRuns.removeFirst();
      }
      if (recentRunsByKind.size() > MAX_KINDS) {
        recentRunsByKind.remove(recentRunsByKind.keySet().iterator().next());
      }
    }
  }

  /** Believes what teams declare; for comparison. */
  final class Declared implements RunTimeEstimator {

    /** Makes the estimator; called by {@code ServiceLoader}. */
    public Declared() {}

    @Override
    public String name() {
      return "declared";
    }

    @Override
    public OptionalLong estimateMillis(JobRequest job) {
      return job.declaredRunMillis() > 0
          ? OptionalLong.of(job.declaredRunMillis())
          : OptionalLong.empty();
    }

    @Override
    public void recordCompletion(JobRequest job, long runMillis) {}
  }
}
