package org.hickoryspar.kernel.requests;

/**
 * Keeps requests away from a minion that fails.
 *
 * <p>Opens after {@value #FAILURES_TO_OPEN} failures in a row, for 1 s and twice as long after each
 * failed trial, up to 30 s. Then one request is let through as a trial. Not safe for use by several
 * threads; the owner of the minion's state guards it.
 */
public final class CircuitBreaker {

  /** Failures in a row that open the circuit. */
  public static final int FAILURES_TO_OPEN = 5;

  private static final long FIRST_OPEN_MILLIS = 1_000;
  private static final long LONGEST_OPEN_MILLIS = 30_000;

  private int failures;
  private boolean open;
  private boolean trialRuns;
  private long openMillis = FIRST_OPEN_MILLIS;
  private long openUntilMillis;

  /** Creates a closed circuit. */
  public CircuitBreaker() {}

  /**
   * Returns whether a request may be sent now.
   *
   * @param nowMillis monotonic time
   * @return true if the circuit is closed or a trial is due
   */
  public boolean permits(long nowMillis) {
    return !open || (!trialRuns && nowMillis >= openUntilMillis);
  }

  /**
   * Notes that a request is sent; an open circuit lets no other one through until it has ended.
   *
   * @param nowMillis monotonic time
   */
  public void onSend(long nowMillis) {
    if (open && nowMillis >= openUntilMillis) {
      trialRuns = true;
    }
  }

  /** Notes a success and closes the circuit. */
  public void onSuccess() {
    failures = 0;
    open = false;
    trialRuns = false;
    openMillis = FIRST_OPEN_MILLIS;
  }

  /** Notes the end of a request that says nothing about the minion. */
  public void onNeutral() {
    trialRuns = false;
  }

  /**
   * Notes a failure.
   *
   * @param nowMillis monotonic time
   * @return true if this failure opened a closed circuit
   */
  public boolean onFailure(long nowMillis) {
    failures++;
    if (open) {
      if (trialRuns) {
        trialRuns = false;
        openMillis = Math.min(LONGEST_OPEN_MILLIS, 2 * openMillis);
        openUntilMillis = nowMillis + openMillis;
      }
      return false;
    }
    if (failures < FAILURES_TO_OPEN) {
      return false;
    }
    open = true;
    openUntilMillis = nowMillis + openMillis;
    return true;
  }

  /**
   * Returns whether the circuit is open.
   *
   * @return true from the opening until a trial has succeeded
   */
  public boolean isOpen() {
    return open;
  }
}
