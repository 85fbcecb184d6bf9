package org.hickoryspar.kernel.requests;

/**
 * Limits retries to a tenth of the requests, and at least 3 per second, over a window of 10 s.
 *
 * <p>Without a limit, retries multiply the load exactly when minions are overloaded. Safe for use
 * by several threads.
 */
public final class RetryBudget {

  private static final int SECONDS = 10;
  private static final int RETRIES_PER_SECOND = 3;
  private static final double RATIO = 0.1;

  private final long[] second = new long[SECONDS];
  private final int[] requests = new int[SECONDS];
  private final int[] retries = new int[SECONDS];

  /** Creates a budget that has not been used. */
  public RetryBudget() {}

  /**
   * Counts a request.
   *
   * @param nowMillis monotonic time
   */
  public synchronized void onRequest(long nowMillis) {
    requests[slot(nowMillis)]++;
  }

  /**
   * Takes a retry from the budget.
   *
   * @param nowMillis monotonic time
   * @return true if a retry is allowed
   */
  public synchronized boolean tryRetry(long nowMillis) {
    int now = slot(nowMillis);
    long oldest = nowMillis / 1000 - SECONDS;
    long sent = 0;
    long retried = 0;
    for (int i = 0; i < SECONDS; i++) {
      if (second[i] > oldest) {
        sent += requests[i];
        retried += retries[i];
      }
    }
    if (retried + 1 > Math.max(RATIO * sent, SECONDS * RETRIES_PER_SECOND)) {
      return false;
    }
    retries[now]++;
    return true;
  }

  private int slot(long nowMillis) {
    long current = nowMillis / 1000;
    int slot = (int) Math.floorMod(current, (long) SECONDS);
    if (second[slot] != current) {
      second[slot] = current;
      requests[slot] = 0;
      retries[slot] = 0;
    }
    return slot;
  }
}
