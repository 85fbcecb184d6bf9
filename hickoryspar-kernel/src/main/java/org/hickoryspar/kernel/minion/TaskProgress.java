package org.hickoryspar.kernel.minion;

import java.util.OptionalLong;

/** The progress of a task as its minion reports it with each lease renewal. */
public final class TaskProgress {

  /** Minimum progress since the first report; with less, the observed rate is unreliable. */
  private static final int MIN_PROGRESS_PERCENT = 4;

  private static final int COMPLETE_PERCENT = 100;

  private int percent;
  private int firstPercent = -1;
  private long firstMillis;
  private long lastAdvanceMillis;
  private long lastUpdateMillis;

  /**
   * Records the reported progress; an unchanged value means that the task has not advanced.
   *
   * @param newPercent reported progress, 0 to 100
   * @param nowMillis monotonic time in milliseconds
   */
  public void update(int newPercent, long nowMillis) {
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

  /**
   * Returns the progress that was last reported.
   *
   * @return 0 to 100
   */
  public int percent() {
    return percent;
  }

  /**
   * Returns when the progress last increased, or was first reported.
   *
   * @return monotonic time in milliseconds
   */
  public long lastAdvanceMillis() {
    return lastAdvanceMillis;
  }

  /**
   * Returns when the progress was last reported.
   *
   * @return monotonic time in milliseconds
   */
  public long lastUpdateMillis() {
    return lastUpdateMillis;
  }

  /**
   * Returns the remaining time at the observed rate.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return the time in milliseconds, negative if the task should have ended, or empty if it has
   *     not advanced enough for a reliable rate
   */
  public OptionalLong remainingMillis(long nowMillis) {
    if (!hasRate()) {
      return OptionalLong.empty();
    }
    long elapsedMillis = Math.max(1, lastAdvanceMillis - firstMillis);
    long remainingAtAdvanceMillis = elapsedMillis * (COMPLETE_PERCENT - percent) / donePercent();
    return OptionalLong.of(remainingAtAdvanceMillis - (nowMillis - lastAdvanceMillis));
  }

  private boolean hasRate() {
    return donePercent() >= MIN_PROGRESS_PERCENT;
  }

  private int donePercent() {
    return percent - Math.max(0, firstPercent);
  }

  /**
   * Returns the total run time at the observed rate.
   *
   * @return the time in milliseconds, or -1 if the rate is unknown
   */
  public long totalMillis() {
    return hasRate()
        ? Math.max(1, lastAdvanceMillis - firstMillis) * COMPLETE_PERCENT / donePercent()
        : -1;
  }
}
