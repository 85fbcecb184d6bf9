package org.hickoryspar.kernel.minion;

/** Estimates the monotonic clock of a minion. All times are in milliseconds. */
public final class MinionClock {

  /** Maximum deviation of the rate of a minion's monotonic clock, in either direction. */
  public static final int MAX_DRIFT_PERCENT = 2;

  private boolean known;
  private long remoteMillis;
  private long localMillis;

  /**
   * Updates the estimate with a reading that was taken at a local time or shortly before. A reading
   * below the lower bound is outdated and ignored.
   *
   * @param remoteClockMillis reading of the clock of the minion
   * @param localClockMillis monotonic time of this process
   */
  public void update(long remoteClockMillis, long localClockMillis) {
    if (!known || remoteClockMillis >= lowerBoundMillis(localClockMillis)) {
      known = true;
      remoteMillis = remoteClockMillis;
      localMillis = localClockMillis;
    }
  }

  /**
   * Returns whether there was a reading.
   *
   * @return true if the estimates can be used
   */
  public boolean isKnown() {
    return known;
  }

  /**
   * Returns the approximate time of the clock.
   *
   * @param nowMillis monotonic time of this process
   * @return the estimated reading of the clock of the minion
   */
  public long estimateMillis(long nowMillis) {
    return remoteMillis + (nowMillis - localMillis);
  }

  /**
   * Returns a lower bound of the time of the clock, allowing for the maximum drift.
   *
   * @param nowMillis monotonic time of this process
   * @return a reading that the clock of the minion has certainly reached
   */
  public long lowerBoundMillis(long nowMillis) {
    long elapsedMillis = nowMillis - localMillis;
    return remoteMillis + elapsedMillis * (100 - MAX_DRIFT_PERCENT) / 100;
  }
}
