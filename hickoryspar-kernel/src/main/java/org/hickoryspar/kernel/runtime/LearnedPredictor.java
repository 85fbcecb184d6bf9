package org.hickoryspar.kernel.runtime;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Predicts run times from the finished runs of the same queue, size, work and team, the special
 * ones before the general ones, and from the runs that go on. Declared times count for as much as
 * they have helped to predict.
 */
final class LearnedPredictor implements RunTimePredictor {

  /** Runs of a key from which on it decides instead of its queue whether declared times help. */
  private static final double MIN_RUNS_TO_CHOOSE = 8;

  /** Runs of a queue from which on its median may differ from the declared time by any factor. */
  private static final double MIN_RUNS_TO_TRUST = 16;

  /** The factor by which the median differs from the declared time at most until then. */
  static final int MAX_EARLY_FACTOR = 4;

  private final RunTimeTable table;
  private final Map<RunProfile, Estimate> estimatesByProfile = new HashMap<>();
  private RunningRuns running = new RunningRuns();

  LearnedPredictor(RunTimeTable table) {
    this.table = table;
  }

  @Override
  public RunTimeDistribution predict(RunProfile profile, long declaredMillis) {
    Estimate estimate = estimatesByProfile.get(profile);
    if (estimate == null || !estimate.isCurrent(table)) {
      estimate = estimate(profile);
      estimatesByProfile.put(profile, estimate);
    }
    return estimate.distribution(declaredMillis);
  }

  /** Replaces the runs that go on, and takes account of the changes of all keys. */
  @Override
  public void setRunning(RunningRuns newRunning) {
    newRunning.sumByKey();
    running = newRunning;
    estimatesByProfile.clear();
  }

  private Estimate estimate(RunProfile profile) {
    KeyLevel basis = KeyLevel.DECLARED;
    boolean ratios = true;
    for (KeyLevel level : KeyLevel.LEARNED) {
      KeyStatistics statistics = table.find(profile.keyAt(level));
      if (statistics != null) {
        basis = level;
        if (level == KeyLevel.QUEUE || statistics.runTimes().totalRuns() >= MIN_RUNS_TO_CHOOSE) {
          ratios = statistics.prefersRatios();
        }
      }
    }
    KeyStatistics queue = table.find(profile.keyAt(KeyLevel.QUEUE));
    long leafKey = profile.keyAt(KeyLevel.TEAM);
    return new Estimate(
        shape(profile, ratios, queue),
        ratios,
        queue != null && queue.runTimes().totalRuns() >= MIN_RUNS_TO_TRUST,
        basis,
        leafKey,
        versionOf(table.find(leafKey)));
  }

  private RunTimeShape shape(RunProfile profile, boolean ratios, @Nullable KeyStatistics queue) {
    ShapeEstimator estimator =
        new ShapeEstimator(
            ratios || queue == null
                ? LogScale.positionOf(RunTimeTable.RATIO_ONE)
                : queue.runTimes().meanPosition());
    DecayedHistogram none = new DecayedHistogram();
    for (KeyLevel level : KeyLevel.LEARNED) {
      long key = profile.keyAt(level);
      KeyStatistics statistics = table.find(key);
      DecayedHistogram finished =
          statistics == null ? none : ratios ? statistics.ratios() : statistics.runTimes();
      estimator.refine(finished, ratios ? running.byRatio(key) : running.byRunTime(key));
    }
    return estimator.toShape();
  }

  private static int versionOf(@Nullable KeyStatistics statistics) {
    return statistics == null ? 0 : statistics.version();
  }

  /**
   * What is expected of a profile.
   *
   * @param ratios whether the shape is that of the ratios to the declared time
   * @param trusted whether the median is taken as it is
   * @param leafVersion version of the most special key that the estimate was made from
   */
  private record Estimate(
      RunTimeShape shape,
      boolean ratios,
      boolean trusted,
      KeyLevel basis,
      long leafKey,
      int leafVersion) {

    boolean isCurrent(RunTimeTable table) {
      return versionOf(table.find(leafKey)) == leafVersion;
    }

    RunTimeDistribution distribution(long declaredMillis) {
      double unitMillis = ratios ? (double) declaredMillis / (double) RunTimeTable.RATIO_ONE : 1;
      return new BinnedRunTime(
          shape,
          unitMillis,
          trusted ? 1 : Math.max(1, declaredMillis / MAX_EARLY_FACTOR),
          trusted ? Long.MAX_VALUE : declaredMillis * MAX_EARLY_FACTOR,
          basis);
    }
  }
}
