package org.hickoryspar.kernel.dispatch;

/** Estimates the monotonic clock of a minion. All times are in milliseconds. */
final class MinionClock {

  private boolean known;
  private long remoteMillis;
  private long localMillis;

  /**
   * Updates the estimate with a reading that was taken at a local time or shortly before. A reading
   * below the lower bound is outdated and ignored.
   */
  void update(long remoteClockMillis, long localClockMillis) {
    if (!known || remoteClockMillis >= lowerBoundMillis(localClockMillis)) {
      known = true;
      remoteMillis = remoteClockMillis;
      localMillis = localClockMillis;
    }
  }

  boolean isKnown() {
    return known;
  }

  /** Returns the approximate time of the clock. */
  long estimateMillis(long nowMillis) {
    return remoteMillis + (nowMillis - localMillis);
  }

  /** Returns a lower bound of the time of the clock, allowing for the maximum drift. */
  long lowerBoundMillis(long nowMillis) {
    long elapsedMillis = nowMillis - localMillis;
    return remoteMillis + elapsedMillis * (100 - DispatchSettings.CLOCK_DRIFT_PERCENT) / 100;
  }
}
