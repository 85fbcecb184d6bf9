package org.hickoryspar.kernel.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.hickoryspar.protocol.WorkflowStep;

/**
 * Estimates the run times of tasks. Declared times are wrong by factors that differ between queues,
 * so each queue uses the prediction with the smaller error of two: the declared time times the mean
 * correction factor, or the mean run time of the queue.
 */
final class RunTimeEstimates {

  /** Weight of a new observation in the exponential moving averages. */
  private static final double SMOOTHING_FACTOR = 0.1;

  /** Assumed for a step without a declared time. */
  private static final long DEFAULT_RUN_MILLIS = 5_000;

  private final Map<String, QueueStatistics> statisticsByQueue = new HashMap<>();

  /** Records the run time of a completed run. */
  void recordCompletion(ActiveRun run, long runMillis) {
    // A run that resumed from a checkpoint did only part of the work.
    if (run.checkpoint().isEmpty() && runMillis > 0) {
      statisticsByQueue
          .computeIfAbsent(run.workflow().queue().getName(), queue -> new QueueStatistics())
          .add((double) declaredMillis(run.step()), (double) runMillis);
    }
  }

  /** Returns the estimated total run time of a run, in milliseconds. */
  long estimateMillis(ActiveRun run) {
    return estimateMillis(run.workflow().queue().getName(), run.step());
  }

  long estimateMillis(String queue, WorkflowStep step) {
    long declaredMillis = declaredMillis(step);
    QueueStatistics statistics = statisticsByQueue.get(queue);
    return statistics == null ? declaredMillis : statistics.estimateMillis((double) declaredMillis);
  }

  private static long declaredMillis(WorkflowStep step) {
    return step.getEstimatedMillis() > 0 ? step.getEstimatedMillis() : DEFAULT_RUN_MILLIS;
  }

  private static final class QueueStatistics {

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
