package org.hickoryspar.kernel.requests;

/**
 * Limits the retries within a sliding window of 10 s to 10% of the requests, but never below 3 per
 * second.
 *
 * <p>Without a limit, retries would multiply the load when minions are already overloaded.
 * Thread-safe.
 */
public final class RetryBudget {

  private static final int WINDOW_SECONDS = 10;
  private static final int MIN_RETRIES_PER_SECOND = 3;
  private static final double MAX_RETRY_RATIO = 0.1;

  private final long[] bucketSecond = new long[WINDOW_SECONDS];
  private final int[] requests = new int[WINDOW_SECONDS];
  private final int[] retries = new int[WINDOW_SECONDS];

  /** Creates a budget with an empty window. */
  public RetryBudget() {}

  /**
   * Counts a request, which increases the budget.
   *
   * @param nowMillis monotonic time in milliseconds
   */
  public synchronized void onRequest(long nowMillis) {
    requests[bucket(nowMillis)]++;
  }

  /**
   * Acquires a retry if the budget is not exhausted.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return true if the retry is allowed
   */
  public synchronized boolean tryAcquire(long nowMillis) {
    int currentBucket = bucket(nowMillis);
    long windowStartSecond = nowMillis / 1000 - WINDOW_SECONDS;
    long requestsInWindow = 0;
    long retriesInWindow = 0;
    for (int i = 0; i < WINDOW_SECONDS; i++) {
      if (bucketSecond[i] > windowStartSecond) {
        requestsInWindow += requests[i];
        retriesInWindow += retries[i];
      }
    }
    if (retriesInWindow + 1
        > Math.max(MAX_RETRY_RATIO * requestsInWindow, WINDOW_SECONDS * MIN_RETRIES_PER_SECOND)) {
      return false;
    }
    retries[currentBucket]++;
    return true;
  }

  private int bucket(long nowMillis) {
    long currentSecond = nowMillis / 1000;
    int bucket = (int) Math.floorMod(currentSecond, (long) WINDOW_SECONDS);
    if (bucketSecond[bucket] != currentSecond) {
      bucketSecond[bucket] = currentSecond;
      requests[bucket] = 0;
      retries[bucket] = 0;
    }
    return bucket;
  }
}
