package org.hickoryspar.kernel.dispatch;

/** How a task advances, as its minion tells with each renewal. */
final class TaskProgress {

  /** Below this much progress the pace says little. */
  private static final int MIN_PROGRESS_PERCENT = 4;

  private static final int COMPLETE_PERCENT = 100;

  private int percent;
  private int firstPercent = -1;
  private long firstMillis;
  private long lastAdvanceMillis;
  private long lastUpdateMillis;

  /** Takes note of the progress at a time; repeated values tell that the task stands still. */
  void update(int newPercent, long nowMillis) {
    if (firstPercent < 0) {
      firstPercent = newPercent;
      firstMillis = nowMillis;
      lastAdvanceMillis = nowMillis;
    } else if (newPercent > percent) {
      lastAdvanceMillis = nowMillis;
    }
    percent = newPercent;
    lastUpdateMillis = nowMillis;
  }

  int percent() {
    return percent;
  }

  /** Returns when the task was last seen to advance, or was seen first. */
  long lastAdvanceMillis() {
    return lastAdvanceMillis;
  }

  /** Returns when the task was last seen. */
  long lastUpdateMillis() {
    return lastUpdateMillis;
  }

  /** Returns the work that is left at the pace so far in milliseconds, or -1 if it is not known. */
  long remainingMillis(long nowMillis) {
    int donePercent = percent - Math.max(0, firstPercent);
    if (donePercent < MIN_PROGRESS_PERCENT) {
      return -1;
    }
    long elapsedMillis = Math.max(1, lastAdvanceMillis - firstMillis);
    long remainingAtAdvanceMillis = elapsedMillis * (COMPLETE_PERCENT - percent) / donePercent;
    return Math.max(0, remainingAtAdvanceMillis - (nowMillis - lastAdvanceMillis));
  }

  /** Returns the time of the whole task at the pace so far in milliseconds, or -1. */
  long totalMillis() {
    int donePercent = percent - Math.max(0, firstPercent);
    return donePercent < MIN_PROGRESS_PERCENT
        ? -1
        : Math.max(1, lastAdvanceMillis - firstMillis) * COMPLETE_PERCENT / donePercent;
  }
}
