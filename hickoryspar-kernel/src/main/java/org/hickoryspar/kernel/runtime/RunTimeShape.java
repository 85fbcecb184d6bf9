package org.hickoryspar.kernel.runtime;

/**
 * A distribution over the bins of a {@link LogScale}, uniform within each bin. Positions are
 * measured in bins. Immutable.
 */
final class RunTimeShape {

  /** With a smaller share left than this, what remains follows {@link #TAIL_EXPONENT}. */
  private static final double MIN_SHARE_LEFT = 1e-9;

  /**
   * Exponent of the power law that what has outlasted all known runs is expected to follow. With 2,
   * a run is expected to go on, on average, for as long again as it has gone on.
   */
  static final int TAIL_EXPONENT = 2;

  /** Share of the runs that end before the start of each bin, and 1 at the end. */
  private final double[] sharesBefore = new double[LogScale.BINS + 1];

  /** Creates the shape of weights of bins, which need not add up to 1. */
  RunTimeShape(double[] weights) {
    double total = 0;
    for (double weight : weights) {
      total += weight;
    }
    double before = 0;
    for (int bin = 0; bin < LogScale.BINS; bin++) {
      sharesBefore[bin] = before / total;
      before += weights[bin];
    }
    sharesBefore[LogScale.BINS] = 1;
  }

  /** Returns the position before which a share of the runs end. */
  double quantile(double share) {
    int low = 0;
    int high = LogScale.BINS;
    while (high - low > 1) {
      int middle = (low + high) / 2;
      if (sharesBefore[middle] <= share) {
        low = middle;
      } else {
        high = middle;
      }
    }
    double width = sharesBefore[high] - sharesBefore[low];
    return width <= 0 ? low : low + (share - sharesBefore[low]) / width;
  }

  /** Returns the value before which a share of the runs end that have reached another value. */
  double valueGiven(double reached, double share) {
    double left = 1 - shareBefore(LogScale.positionOf(reached));
    if (left < MIN_SHARE_LEFT) {
      return reached * Math.pow(1 - share, -1.0 / TAIL_EXPONENT);
    }
    return Math.max(reached, LogScale.valueAt(quantile(1 - left * (1 - share))));
  }

  /** Returns the mean value of the runs that have reached a value. */
  double meanGiven(double reached) {
    double position = LogScale.positionOf(reached);
    double left = 1 - shareBefore(position);
    if (left < MIN_SHARE_LEFT) {
      return reached * TAIL_EXPONENT / (TAIL_EXPONENT - 1);
    }
    double sum = 0;
    for (int bin = (int) position; bin < LogScale.BINS; bin++) {
      double from = Math.max(bin, position);
      double share = (sharesBefore[bin + 1] - sharesBefore[bin]) * (bin + 1 - from);
      sum += share * LogScale.valueAt((from + bin + 1) / 2);
    }
    return Math.max(reached, sum / left);
  }

  private double shareBefore(double position) {
    int bin = (int) position;
    if (bin >= LogScale.BINS) {
      return 1;
    }
    return sharesBefore[bin] + (sharesBefore[bin + 1] - sharesBefore[bin]) * (position - bin);
  }
}
