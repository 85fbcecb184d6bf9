package org.hickoryspar.kernel.runtime;

import org.hickoryspar.protocol.RunTimeHistogramRecord;

/**
 * Weights of the bins of a {@link LogScale}, in integer arithmetic. Each addition takes as much
 * from the earlier ones, in proportion, as keeps the total below {@link #MEMORY_RUNS}.
 */
final class DecayedHistogram {

  /** Weight of one whole run. */
  static final long RUN_WEIGHT = 1L << 20;

  /** The number of runs that the total approaches; earlier runs are forgotten. */
  static final int MEMORY_RUNS = 32;

  /** What a bin keeps of its weight when that is smoothed; either neighbour gets a share of 1. */
  private static final int OWN_SHARE = 2;

  /** Sum of the shares of a bin and its two neighbours. */
  private static final int ALL_SHARES = OWN_SHARE + 2;

  private final int[] weights = new int[LogScale.BINS];
  private long total;

  /** Adds a run to a bin. */
  void add(int bin, long weight) {
    total = 0;
    for (int i = 0; i < weights.length; i++) {
      long kept = weights[i];
      if (kept > 0) {
        kept -= Math.max(1, kept * weight / (MEMORY_RUNS * RUN_WEIGHT));
      }
      weights[i] = (int) (i == bin ? kept + weight : kept);
      total += weights[i];
    }
  }

  /** Returns the sum of all weights. */
  long total() {
    return total;
  }

  /** Returns the sum of all weights in runs. */
  double totalRuns() {
    return (double) total / RUN_WEIGHT;
  }

  /** Returns the weight of a bin in runs, smoothed over its neighbours. */
  double smoothedRuns(int bin) {
    return (double) smoothed(bin) / (ALL_SHARES * RUN_WEIGHT);
  }

  /** Returns the mean position on the scale, or 0 without any run. */
  double meanPosition() {
    double sum = 0;
    for (int bin = 0; bin < weights.length; bin++) {
      sum += weights[bin] * (bin + 0.5);
    }
    return total == 0 ? 0 : sum / total;
  }

  /** Returns the variance of the positions in bins, as if one more run differed by one bin. */
  double variance() {
    double mean = meanPosition();
    double sum = 1;
    for (int bin = 0; bin < weights.length; bin++) {
      double distance = bin + 0.5 - mean;
      sum += distance * distance * weights[bin] / RUN_WEIGHT;
    }
    return sum / (totalRuns() + 1);
  }

  private long smoothed(int bin) {
    long below = bin == 0 ? 0 : weights[bin - 1];
    long above = bin == weights.length - 1 ? 0 : weights[bin + 1];
    return below + (long) OWN_SHARE * weights[bin] + above;
  }

  RunTimeHistogramRecord toRecord() {
    int first = 0;
    while (first < weights.length && weights[first] == 0) {
      first++;
    }
    int end = weights.length;
    while (end > first && weights[end - 1] == 0) {
      end--;
    }
    RunTimeHistogramRecord.Builder record =
        RunTimeHistogramRecord.newBuilder().setFirstBin(first == weights.length ? 0 : first);
    for (int bin = first; bin < end; bin++) {
      record.addWeights(weights[bin]);
    }
    return record.build();
  }

  /** Returns the histogram of a record; bins beyond the scale are left out. */
  static DecayedHistogram restore(RunTimeHistogramRecord record) {
    DecayedHistogram histogram = new DecayedHistogram();
    for (int i = 0; i < record.getWeightsCount(); i++) {
      int bin = record.getFirstBin() + i;
      if (bin >= 0 && bin < LogScale.BINS) {
        histogram.weights[bin] = record.getWeights(i);
        histogram.total += record.getWeights(i);
      }
    }
    return histogram;
  }
}
