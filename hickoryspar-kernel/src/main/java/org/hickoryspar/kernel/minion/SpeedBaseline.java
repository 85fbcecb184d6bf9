package org.hickoryspar.kernel.minion;

import java.util.Arrays;

/**
 * How far the latest runs on all minions of a service were from their expectation. Expectations may
 * be wrong for all minions alike, and vary by chance; a minion counts as slow only by what goes
 * beyond both. Median and median deviation are used, because some of the minions may be slow.
 */
public final class SpeedBaseline {

  /** Number of the latest runs that count. */
  private static final int MAX_RUNS = 128;

  /** With fewer runs no minion is judged. */
  private static final int MIN_RUNS = 8;

  /** Standard deviation of normally distributed values over their median absolute deviation. */
  private static final double DEVIATION_FACTOR = 1.4826;

  private final double[] logRatios = new double[MAX_RUNS];
  private int count;
  private double median;
  private double spread;

  /**
   * Adds a completed run.
   *
   * @param logRatio its ratio as in {@link RunTimeRatio#logOf}
   */
  public void add(double logRatio) {
    logRatios[count % MAX_RUNS] = logRatio;
    count++;
    double[] latest = Arrays.copyOf(logRatios, Math.min(count, MAX_RUNS));
    median = medianOf(latest);
    for (int i = 0; i < latest.length; i++) {
      latest[i] = Math.abs(latest[i] - median);
    }
    spread = DEVIATION_FACTOR * medianOf(latest);
  }

  private static double medianOf(double[] values) {
    Arrays.sort(values);
    int middle = values.length / 2;
    return values.length % 2 == 1 ? values[middle] : (values[middle - 1] + values[middle]) / 2;
  }

  /**
   * Returns whether there were enough runs to judge minions.
   *
   * @return true if {@link #median} and {@link #spread} can be relied on
   */
  public boolean isKnown() {
    return count >= MIN_RUNS;
  }

  /**
   * Returns the median of the latest runs.
   *
   * @return a logarithmic ratio, 0 if the expectations are right on the whole
   */
  public double median() {
    return median;
  }

  /**
   * Returns how far runs are spread around the median.
   *
   * @return a standard deviation of logarithmic ratios, without the effect of outliers
   */
  public double spread() {
    return spread;
  }

  /**
   * Returns how long a run takes on most minions.
   *
   * @param expectedMillis expected time of the run, in milliseconds
   * @return the expected time, corrected by the median, in milliseconds
   */
  public long typicalMillis(long expectedMillis) {
    return (long) (expectedMillis * Math.exp(median));
  }
}
