package org.hickoryspar.kernel.runtime;

/** Predicts the run times of steps. Used by one thread at a time. */
public interface RunTimePredictor {

  /**
   * Predicts the run time of one run of a step.
   *
   * @param profile what the run has in common with others
   * @param declaredMillis the declared run time in milliseconds, at least 1
   * @return the distribution of the run time from the start to the end
   */
  RunTimeDistribution predict(RunProfile profile, long declaredMillis);

  /**
   * Records a whole run that this leader has seen. Ignored by predictors that learn from the
   * replicated log or not at all.
   *
   * @param profile what the run has in common with others
   * @param declaredMillis the declared run time in milliseconds, at least 1
   * @param runMillis the run time in milliseconds, at least 1
   */
  default void recordCompletion(RunProfile profile, long declaredMillis, long runMillis) {}

  /**
   * Replaces the runs that go on. Ignored by predictors that take no account of them.
   *
   * @param running the runs and for how long they have gone on
   */
  default void setRunning(RunningRuns running) {}
}
