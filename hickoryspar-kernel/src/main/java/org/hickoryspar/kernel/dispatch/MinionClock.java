package org.hickoryspar.kernel.dispatch;

/** What is known of a minion's steady clock; all times in milliseconds. */
final class MinionClock {

  private boolean known;
  private long remoteMillis;
  private long localMillis;

  /** Takes a reading that was made at a local time or shortly before. */
  void read(long remoteClockMillis, long atMillis) {
    if (!known || remoteClockMillis >= earliest(atMillis)) {
      known = true;
      remoteMillis = remoteClockMillis;
      localMillis = atMillis;
    }
  }

  boolean isKnown() {
    return known;
  }

  /** Returns about what the clock shows. */
  long estimate(long nowMillis) {
    return remoteMillis + (nowMillis - localMillis);
  }

  /** Returns what the clock shows at least. */
  long earliest(long nowMillis) {
    long elapsed = nowMillis - localMillis;
    return remoteMillis + elapsed * (100 - DispatchSettings.CLOCK_DRIFT_PERCENT) / 100;
  }
}
