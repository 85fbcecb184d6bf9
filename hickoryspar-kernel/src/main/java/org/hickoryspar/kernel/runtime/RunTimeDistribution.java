package org.hickoryspar.kernel.runtime;

/** The predicted run time of one run. Immutable. */
public interface RunTimeDistribution {

  /**
   * Returns the time within which half of such runs end.
   *
   * @return milliseconds, at least 1
   */
  long medianMillis();

  /**
   * Returns the time within which a share of such runs end.
   *
   * @param share share of the runs, more than 0 and less than 1
   * @return milliseconds, at least 1
   */
  long quantileMillis(double share);

  /**
   * Returns the further time within which a share of the runs end that have gone on for some time.
   *
   * @param elapsedMillis for how long the run has gone on, at least 0
   * @param share share of the runs, more than 0 and less than 1
   * @return milliseconds, at least 1
   */
  long remainingQuantileMillis(long elapsedMillis, double share);

  /**
   * Returns the mean further time of the runs that have gone on for some time.
   *
   * @param elapsedMillis for how long the run has gone on, at least 0
   * @return milliseconds, at least 1
   */
  long meanRemainingMillis(long elapsedMillis);

  /**
   * Returns what the prediction rests on.
   *
   * @return the most special key of which a run has ended
   */
  KeyLevel basis();
}
