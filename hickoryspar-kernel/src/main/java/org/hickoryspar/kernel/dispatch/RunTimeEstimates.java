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
  private static final double NEW_WEIGHT = 0.1;

  private static final long UNKNOWN_MILLIS = 5_000;

  private final Map<String, QueueStatistics> byQueue = new HashMap<>();

  /** Takes note of how long a task worked from its start to its end. */
  void observed(ActiveRun run, long tookMillis) {
    // A run that resumed did only a part of the work.
    if (run.checkpoint().isEmpty() && tookMillis > 0) {
      byQueue
          .computeIfAbsent(run.workflow().queue().getName(), queue -> new QueueStatistics())
          .add((double) declared(run.step()), (double) tookMillis);
    }
  }

  /** Returns how long a task of a run is expected to take as a whole, in milliseconds. */
  long wholeMillis(ActiveRun run) {
    return wholeMillis(run.workflow().queue().getName(), run.step());
  }

  long wholeMillis(String queue, WorkflowStep step) {
    long declaredMillis = declared(step);
    QueueStatistics observed = byQueue.get(queue);
    return observed == null ? declaredMillis : observed.estimate((double) declaredMillis);
  }

  private static long declared(WorkflowStep step) {
    return step.getEstimatedMillis() > 0 ? step.getEstimatedMillis() : UNKNOWN_MILLIS;
  }

  private static final class QueueStatistics {

    private int count;
    private double meanMillis;
    private double meanFactor;
    private double errorOfMean;
    private double errorOfDeclared;

    void add(double declaredMillis, double tookMillis) {
      if (count > 0) {
        errorOfMean = moved(errorOfMean, error(meanMillis, tookMillis));
        errorOfDeclared = moved(errorOfDeclared, error(declaredMillis * meanFactor, tookMillis));
      }
      meanMillis = moved(meanMillis, tookMillis);
      meanFactor = moved(meanFactor, tookMillis / declaredMillis);
      count++;
    }

    private double moved(double mean, double value) {
      return mean + (value - mean) * Math.max(NEW_WEIGHT, 1.0 / (count + 1));
    }

    private static double error(double expected, double found) {
      return Math.abs(Math.log(found / expected));
    }

    long estimate(double declaredMillis) {
      return (long) (errorOfDeclared <= errorOfMean ? declaredMillis * meanFactor : meanMillis);
    }
  }
}
