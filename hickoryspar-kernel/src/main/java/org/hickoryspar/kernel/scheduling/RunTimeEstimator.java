package org.hickoryspar.kernel.scheduling;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/** Estimates the run times of jobs; a plug-in registered in {@code META-INF/services}. */
public interface RunTimeEstimator {

  /**
   * Returns the name by which the estimator is selected.
   *
   * @return the name, for example {@code "learned"}
   */
  String name();

  /**
   * Estimates the total run time of a job.
   *
   * @param job the job
   * @return milliseconds, or empty without a basis for an estimate
   */
  OptionalLong estimateMillis(JobRequest job);

  /**
   * Records the run time of a job that has completed without interruption.
   *
   * @param job the job
   * @param runMillis the run time
   */
  void recordCompletion(JobRequest job, long runMillis);

  /** Estimates from recent run times of the same team and kind; ignores declared run times. */
  final class Learned implements RunTimeEstimator {

    /** Minimum number of runs for an estimate; fewer runs are not representative. */
    private static final int MIN_RUNS = 3;

    private static final int MAX_RUNS = 16;
    private static final int MAX_KINDS = 2_048;

    private record Kind(String team, String kind) {}

    private final Map<Kind, Deque<Long>> recentRunMillisByKind =
        new LinkedHashMap<>(16, 0.75f, true);

    /** Creates an estimator without history; called by {@code ServiceLoader}. */
    public Learned() {}

    @Override
    public String name() {
      return "learned";
    }

    /**
     * Returns the 90th percentile of the recent runs, because an early end costs less than a late
     * one.
     */
    @Override
    public OptionalLong estimateMillis(JobRequest job) {
      Deque<Long> recentRunMillis = recentRunMillisByKind.get(new Kind(job.team(), job.kind()));
      if (recentRunMillis == null || recentRunMillis.size() < MIN_RUNS) {
        return OptionalLong.empty();
      }
      long[] sorted = recentRunMillis.stream().mapToLong(Long::longValue).sorted().toArray();
      return OptionalLong.of(sorted[(sorted.length * 9 - 1) / 10]);
    }

    @Override
    public void recordCompletion(JobRequest job, long runMillis) {
      Deque<Long> recentRunMillis =
          recentRunMillisByKind.computeIfAbsent(
              new Kind(job.team(), job.kind()), key -> new ArrayDeque<>());
      recentRunMillis.addLast(runMillis);
      if (recentRunMillis.size() > MAX_RUNS) {
        recentRunMillis.removeFirst();
      }
      if (recentRunMillisByKind.size() > MAX_KINDS) {
        recentRunMillisByKind.remove(recentRunMillisByKind.keySet().iterator().next());
      }
    }
  }

  /** Uses the declared run time; a baseline for comparisons. */
  final class Declared implements RunTimeEstimator {

    /** Creates the estimator; called by {@code ServiceLoader}. */
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
