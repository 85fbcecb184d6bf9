package org.hickoryspar.kernel.requests;

/**
 * Keeps requests away from a minion that fails.
 *
 * <p>Opens after {@value #FAILURE_THRESHOLD} failures in a row, for 1 s and twice as long after
 * each failed trial, up to 30 s. Then one request is let through as a trial. Not safe for use by
 * several threads; the owner of the minion's state guards it.
 */
public final class CircuitBreaker {

  /** Failures in a row that open the circuit. */
  public static final int FAILURE_THRESHOLD = 5;

  private static final long INITIAL_OPEN_MILLIS = 1_000;
  private static final long MAX_OPEN_MILLIS = 30_000;

  private int consecutiveFailures;
  private boolean open;
  private boolean trialInFlight;
  private long openDurationMillis = INITIAL_OPEN_MILLIS;
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
    return !open || (!trialInFlight && nowMillis >= openUntilMillis);
  }

  /**
   * Notes that a request is sent; an open circuit lets no other one through until it has ended.
   *
   * @param nowMillis monotonic time
   */
  public void onSend(long nowMillis) {
    if (open && nowMillis >= openUntilMillis) {
      trialInFlight = true;
    }
  }

  /** Notes a success and closes the circuit. */
  public void onSuccess() {
    consecutiveFailures = 0;
    open = false;
    trialInFlight = false;
    openDurationMillis = INITIAL_OPEN_MILLIS;
  }

  /** Notes the end of a request that says nothing about the minion. */
  public void onNeutral() {
    trialInFlight = false;
  }

  /**
   * Notes a failure.
   *
   * @param nowMillis monotonic time
   * @return true if this failure opened a closed circuit
   */
  public boolean onFailure(long nowMillis) {
    consecutiveFailures++;
    if (open) {
      if (trialInFlight) {
        trialInFlight = false;
        openDurationMillis = Math.min(MAX_OPEN_MILLIS, 2 * openDurationMillis);
        openUntilMillis = nowMillis + openDurationMillis;
      }
      return false;
    }
    if (consecutiveFailures < FAILURE_THRESHOLD) {
      return false;
    }
    open = true;
    openUntilMillis = nowMillis + openDurationMillis;
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
