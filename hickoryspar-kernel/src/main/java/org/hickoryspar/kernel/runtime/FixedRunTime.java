package org.hickoryspar.kernel.runtime;

/**
 * A run time that is taken for certain.
 *
 * @param millis the run time in milliseconds, at least 1
 * @param basis what it rests on
 */
record FixedRunTime(long millis, KeyLevel basis) implements RunTimeDistribution {

  /** Expected of a run that has exceeded the run time, of which nothing else is known. */
  private static final long OVERDUE_MILLIS = 500;

  @Override
  public long medianMillis() {
    return millis;
  }

  @Override
  public long quantileMillis(double share) {
    return millis;
  }

  @Override
  public long remainingQuantileMillis(long elapsedMillis, double share) {
    return Math.max(OVERDUE_MILLIS, millis - elapsedMillis);
  }

  @Override
  public long meanRemainingMillis(long elapsedMillis) {
    return Math.max(OVERDUE_MILLIS, millis - elapsedMillis);
  }
}
