package org.hickoryspar.bench;

import java.util.Arrays;
import java.util.List;

/**
 * Summary statistics of a sample, in seconds for jobs and in milliseconds for decisions. All are 0
 * if the sample is empty.
 *
 * @param count number of values
 * @param mean arithmetic mean
 * @param median smallest value that half of the sample does not exceed
 * @param p99 smallest value that 99% of the sample does not exceed
 * @param max largest value
 */
public record Distribution(int count, double mean, double median, double p99, double max) {

  /**
   * Computes the statistics of a sample.
   *
   * @param sample the values, in any order
   * @return the statistics
   */
  public static Distribution of(List<Double> sample) {
    double[] sorted = sample.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    if (sorted.length == 0) {
      return new Distribution(0, 0, 0, 0, 0);
    }
    return new Distribution(
        sorted.length,
        Arrays.stream(sorted).average().orElse(0),
        quantile(sorted, 0.5),
        quantile(sorted, 0.99),
        sorted[sorted.length - 1]);
  }

  /** Returns the smallest value that the given share of the sample does not exceed. */
  private static double quantile(double[] sorted, double share) {
    return sorted[Math.max(0, (int) Math.ceil(share * sorted.length) - 1)];
  }
}
