package org.hickoryspar.kernel.runtime;

import static java.util.Objects.requireNonNull;

/** Where predictions of run times come from. */
public enum RunTimeSource {
  /** From the finished runs that the replicated log records, and from the runs that go on. */
  LEARNED {
    @Override
    RunTimePredictor newPredictorOf(RunTimeTable table) {
      return new LearnedPredictor(table);
    }
  },
  /** From a moving mean for each queue over the runs that the current leader has seen. */
  MEAN {
    @Override
    RunTimePredictor newPredictorOf(RunTimeTable table) {
      return new MovingMeanPredictor();
    }
  },
  /** From the times that callers declare. */
  DECLARED {
    @Override
    RunTimePredictor newPredictorOf(RunTimeTable table) {
      return new DeclaredPredictor();
    }
  };

  /**
   * Creates a predictor that draws on this source.
   *
   * @param table the finished runs; only {@link #LEARNED} reads it
   * @return a new predictor
   */
  public RunTimePredictor newPredictor(RunTimeTable table) {
    return newPredictorOf(requireNonNull(table, "table is null"));
  }

  abstract RunTimePredictor newPredictorOf(RunTimeTable table);
}
