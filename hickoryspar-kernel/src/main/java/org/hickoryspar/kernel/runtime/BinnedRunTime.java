package org.hickoryspar.kernel.runtime;

/**
 * A run time with a learned distribution.
 *
 * @param shape the distribution of the run time in units
 * @param unitMillis the unit in milliseconds
 * @param minMedianMillis the least median, in milliseconds
 * @param maxMedianMillis the greatest median, in milliseconds
 * @param basis the most special key of which a run has ended
 */
record BinnedRunTime(
    RunTimeShape shape,
    double unitMillis,
    long minMedianMillis,
    long maxMedianMillis,
    KeyLevel basis)
    implements RunTimeDistribution {

  private static final double MEDIAN = 0.5;

  @Override
  public long medianMillis() {
    return Math.min(maxMedianMillis, Math.max(minMedianMillis, quantileMillis(MEDIAN)));
  }

  @Override
  public long quantileMillis(double share) {
    return atLeastOne(unitMillis * LogScale.valueAt(shape.quantile(share)));
  }

  @Override
  public long remainingQuantileMillis(long elapsedMillis, double share) {
    double reached = elapsedMillis / unitMillis;
    return atLeastOne(unitMillis * (shape.valueGiven(reached, share) - reached));
  }

  @Override
  public long meanRemainingMillis(long elapsedMillis) {
    double reached = elapsedMillis / unitMillis;
    return atLeastOne(unitMillis * (shape.meanGiven(reached) - reached));
  }

  private static long atLeastOne(double millis) {
    return Math.max(1, Math.round(millis));
  }
}
