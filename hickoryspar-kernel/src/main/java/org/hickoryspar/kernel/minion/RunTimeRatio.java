package org.hickoryspar.kernel.minion;

/** Compares the time of a run with its expectation on a logarithmic scale. */
public final class RunTimeRatio {

  /** Added to both times, so that delays of messages do not count in short runs. */
  private static final long MESSAGE_DELAY_MILLIS = 200;

  /** Bound of a ratio in either direction; limits the effect of a single odd run. */
  private static final double MAX_LOG = Math.log(8);

  private RunTimeRatio() {}

  /**
   * Returns the logarithm of the ratio of two run times, bounded in both directions.
   *
   * @param actualMillis time that a run has taken or is going to take, in milliseconds
   * @param expectedMillis expected time of the run, in milliseconds
   * @return 0 for a run as expected, positive for a slower one
   */
  public static double logOf(long actualMillis, long expectedMillis) {
    double ratio =
        (double) (Math.max(0, actualMillis) + MESSAGE_DELAY_MILLIS)
            / (Math.max(0, expectedMillis) + MESSAGE_DELAY_MILLIS);
    return Math.max(-MAX_LOG, Math.min(MAX_LOG, Math.log(ratio)));
  }
}
