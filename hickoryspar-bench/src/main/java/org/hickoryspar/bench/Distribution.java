package org.hickoryspar.bench;

import java.util.Arrays;
import java.util.List;

/**
 * Summary of a sample, in seconds for jobs and milliseconds for decisions.
 *
 * @param count number of values
 * @param mean arithmetic mean; 0 without values
 * @param median the middle value
 * @param p99 the value that 99% do not exceed
 * @param max the largest value
 */
public record Distribution(int count, double mean, double median, double p99, double max) {

  /**
   * Summarises a sample.
   *
   * @param sample the values, in any order
   * @return the summary
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
