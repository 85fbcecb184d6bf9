package org.hickoryspar.kernel.runtime;

import java.util.HashMap;
import java.util.Map;

/**
 * Predicts a run time by moving means of the runs of a queue that one leader has seen. Each queue
 * uses the prediction with the smaller error of two: the declared time times the mean correction
 * factor, or the mean run time.
 */
final class MovingMeanPredictor implements RunTimePredictor {

  /** Weight of a new observation in the exponential moving averages. */
  private static final double SMOOTHING_FACTOR = 0.1;

  private final Map<String, QueueMeans> meansByQueue = new HashMap<>();

  @Override
  public RunTimeDistribution predict(RunProfile profile, long declaredMillis) {
    QueueMeans means = meansByQueue.get(profile.queue());
    return means == null
        ? new FixedRunTime(declaredMillis, KeyLevel.DECLARED)
        : new FixedRunTime(
            Math.max(1, means.estimateMillis((double) declaredMillis)), KeyLevel.QUEUE);
  }

  @Override
  public void recordCompletion(RunProfile profile, long declaredMillis, long runMillis) {
    meansByQueue
        .computeIfAbsent(profile.queue(), queue -> new QueueMeans())
        .add((double) declaredMillis, (double) runMillis);
  }

  private static final class QueueMeans {

    private int completions;
    private double meanMillis;
    private double meanCorrection;
    private double meanPredictionError;
    private double declaredPredictionError;

    void add(double declaredMillis, double runMillis) {
      if (completions > 0) {
        meanPredictionError = smoothed(meanPredictionError, logError(meanMillis, runMillis));
        declaredPredictionError =
            smoothed(declaredPredictionError, logError(declaredMillis * meanCorrection, runMillis));
      }
      meanMillis = smoothed(meanMillis, runMillis);
      meanCorrection = smoothed(meanCorrection, runMillis / declaredMillis);
      completions++;
    }

    private double smoothed(double mean, double value) {
      return mean + (value - mean) * Math.max(SMOOTHING_FACTOR, 1.0 / (completions + 1));
    }

    private static double logError(double expected, double actual) {
      return Math.abs(Math.log(actual / expected));
    }

    long estimateMillis(double declaredMillis) {
      return (long)
          (declaredPredictionError <= meanPredictionError
              ? declaredMillis * meanCorrection
              : meanMillis);
    }
  }
}
