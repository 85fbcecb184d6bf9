package org.hickoryspar.kernel.dispatch;

/** How a task advances, as its minion tells with each renewal. */
final class TaskProgress {

  /** Below this much progress the pace says little. */
  private static final int MIN_PERCENT = 4;

  private static final int COMPLETE_PERCENT = 100;

  private int percent;
  private int firstPercent = -1;
  private long firstMillis;
  private long advancedMillis;
  private long seenMillis;

  /** Takes note of the progress at a time; repeated values tell that the task stands still. */
  void at(int newPercent, long nowMillis) {
    if (firstPercent < 0) {
      firstPercent = newPercent;
      firstMillis = nowMillis;
      advancedMillis = nowMillis;
    } else if (newPercent > percent) {
      advancedMillis = nowMillis;
    }
    percent = newPercent;
    seenMillis = nowMillis;
  }

  int percent() {
    return percent;
  }

  /** Returns when the task was last seen to advance, or was seen first. */
  long advancedMillis() {
    return advancedMillis;
  }

  /** Returns when the task was last seen. */
  long seenMillis() {
    return seenMillis;
  }

  /** Returns the work that is left at the pace so far in milliseconds, or -1 if it is not known. */
  long leftMillis(long nowMillis) {
    int done = percent - Math.max(0, firstPercent);
    if (done < MIN_PERCENT) {
      return -1;
    }
    long tookMillis = Math.max(1, advancedMillis - firstMillis);
    long leftAtLast = tookMillis * (COMPLETE_PERCENT - percent) / done;
    return Math.max(0, leftAtLast - (nowMillis - advancedMillis));
  }

  /** Returns the time of the whole task at the pace so far in milliseconds, or -1. */
  long wholeMillis() {
    int done = percent - Math.max(0, firstPercent);
    return done < MIN_PERCENT
        ? -1
        : Math.max(1, advancedMillis - firstMillis) * COMPLETE_PERCENT / done;
  }
}
