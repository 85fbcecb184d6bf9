package org.hickoryspar.kernel.dispatch;

/** What is known of a minion's steady clock; all times in milliseconds. */
final class MinionClock {

  private boolean known;
  private long remoteMillis;
  private long localMillis;

  /** Takes a reading that was made at a local time or shortly before. */
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

  /** Returns about what the clock shows. */
  long estimateMillis(long nowMillis) {
    return remoteMillis + (nowMillis - localMillis);
  }

  /** Returns what the clock shows at least. */
  long lowerBoundMillis(long nowMillis) {
    long elapsedMillis = nowMillis - localMillis;
    return remoteMillis + elapsedMillis * (100 - DispatchSettings.CLOCK_DRIFT_PERCENT) / 100;
  }
}
