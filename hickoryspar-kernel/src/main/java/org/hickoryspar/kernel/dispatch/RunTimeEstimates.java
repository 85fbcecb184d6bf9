package org.hickoryspar.kernel.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.hickoryspar.protocol.WorkflowStep;

/**
 * Estimates how long tasks run. Declared times are off by factors that differ between queues, so
 * for each queue the better one of two predictions is used: the declared time, corrected by the
 * mean factor, or the mean time of the queue.
 */
final class RunTimeEstimates {

  /** Weight of a new observation in the running means. */
  private static final double SMOOTHING_FACTOR = 0.1;

  private static final long DEFAULT_RUN_MILLIS = 5_000;

  private final Map<String, QueueStatistics> statisticsByQueue = new HashMap<>();

  /** Takes note of how long a task worked from its start to its end. */
  void recordCompletion(ActiveRun run, long runMillis) {
    // A run that resumed did only a part of the work.
    if (run.checkpoint().isEmpty() && runMillis > 0) {
      statisticsByQueue
          .computeIfAbsent(run.workflow().queue().getName(), queue -> new QueueStatistics())
          .add((double) declaredMillis(run.step()), (double) runMillis);
    }
  }

  /** Returns how long a task of a run is expected to take as a whole, in milliseconds. */
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
