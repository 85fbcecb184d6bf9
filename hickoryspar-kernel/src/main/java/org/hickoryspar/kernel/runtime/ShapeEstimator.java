package org.hickoryspar.kernel.runtime;

/**
 * Estimates the distribution of one key after the other, from general to special. The runs of a key
 * are added to those that the more general one is worth, so that a key with few runs borrows from
 * it. Runs that go on are added where they may still end.
 */
final class ShapeEstimator {

  /** The number of runs that the estimate of the more general key is worth. */
  private static final double BORROWED_RUNS = 4;

  /**
   * Spread of the first estimate, in bins: the run time is taken to differ from it by a factor of
   * two.
   */
  private static final double PRIOR_SPREAD_BINS = LogScale.BINS_PER_OCTAVE;

  /** Share of the first estimate that may last for any time. */
  private static final double TAIL_SHARE = 1.0 / 64;

  private final double[] shares = new double[LogScale.BINS];

  /** Starts with run times that differ from a value at a position by a factor of two or so. */
  ShapeEstimator(double centre) {
    for (int bin = 0; bin < shares.length; bin++) {
      double distance = (bin + 0.5 - centre) / PRIOR_SPREAD_BINS;
      shares[bin] = Math.exp(-distance * distance / 2);
    }
    normalize(1 - TAIL_SHARE);
    addTail(centre);
  }

  private void addTail(double centre) {
    double decay = Math.pow(2, (double) -RunTimeShape.TAIL_EXPONENT / LogScale.BINS_PER_OCTAVE);
    double share = TAIL_SHARE * (1 - decay);
    for (int bin = (int) centre; bin < shares.length; bin++) {
      shares[bin] += share;
      share *= decay;
    }
    normalize(1);
  }

  /**
   * Refines the estimate by the runs of a more special key.
   *
   * @param finished the runs that have ended
   * @param running the number of runs that go on, by the bin that they have reached; may be empty
   */
  void refine(DecayedHistogram finished, double[] running) {
    for (int bin = 0; bin < shares.length; bin++) {
      shares[bin] = BORROWED_RUNS * shares[bin] + finished.smoothedRuns(bin);
    }
    normalize(1);
    if (running.length > 0) {
      addRunning(running, BORROWED_RUNS + finished.totalRuns());
    }
  }

  // A run that goes on ends in one of the bins from the one that it has reached on, in proportion
  // to the estimate without it. All such runs together weigh at most as much as all that is
  // remembered.
  private void addRunning(double[] running, double otherRuns) {
    double total = 0;
    for (double runs : running) {
      total += runs;
    }
    double factor = Math.min(1, DecayedHistogram.MEMORY_RUNS / total) / otherRuns;
    double[] sharesFrom = new double[LogScale.BINS];
    double sum = 0;
    for (int bin = LogScale.BINS - 1; bin >= 0; bin--) {
      sum += shares[bin];
      sharesFrom[bin] = sum;
    }
    double raise = 1;
    for (int bin = 0; bin < shares.length; bin++) {
      if (running[bin] > 0) {
        raise += running[bin] * factor / sharesFrom[bin];
      }
      shares[bin] *= raise;
    }
    normalize(1);
  }

  private void normalize(double sum) {
    double total = 0;
    for (double share : shares) {
      total += share;
    }
    for (int bin = 0; bin < shares.length; bin++) {
      shares[bin] *= sum / total;
    }
  }

  RunTimeShape toShape() {
    return new RunTimeShape(shares);
  }
}
