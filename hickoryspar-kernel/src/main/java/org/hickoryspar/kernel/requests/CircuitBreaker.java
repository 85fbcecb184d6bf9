package org.hickoryspar.kernel.requests;

/**
 * A circuit breaker that stops requests to a failing minion.
 *
 * <p>It opens after {@value #FAILURE_THRESHOLD} consecutive failures for 1 s. After that time it
 * permits a single trial request: a success closes the circuit, a failure keeps it open for twice
 * as long as before, up to 30 s. Not thread-safe; the owner of the minion's state must guard it
 * with a lock.
 */
public final class CircuitBreaker {

  /** Number of consecutive failures that opens the circuit. */
  public static final int FAILURE_THRESHOLD = 5;

  private static final long INITIAL_OPEN_MILLIS = 1_000;
  private static final long MAX_OPEN_MILLIS = 30_000;

  private int consecutiveFailures;
  private boolean open;
  private boolean trialInFlight;
  private long openDurationMillis = INITIAL_OPEN_MILLIS;
  private long openUntilMillis;

  /** Creates a circuit breaker that is closed. */
  public CircuitBreaker() {}

  /**
   * Returns whether a request may be sent now.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return true if the circuit is closed, or if it is open, its time has passed and no trial is in
   *     flight
   */
  public boolean permits(long nowMillis) {
    return !open || (!trialInFlight && nowMillis >= openUntilMillis);
  }

  /**
   * Records that a request is sent. If the circuit is open, the request becomes the trial, and no
   * other request is permitted until it ends.
   *
   * @param nowMillis monotonic time in milliseconds
   */
  public void onSend(long nowMillis) {
    if (open && nowMillis >= openUntilMillis) {
      trialInFlight = true;
    }
  }

  /** Records a success and closes the circuit. */
  public void onSuccess() {
    consecutiveFailures = 0;
    open = false;
    trialInFlight = false;
    openDurationMillis = INITIAL_OPEN_MILLIS;
  }

  /** Records the end of a request whose result does not indicate the health of the minion. */
  public void onNeutral() {
    trialInFlight = false;
  }

  /**
   * Records a failure.
   *
   * @param nowMillis monotonic time in milliseconds
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
   * @return true from the opening of the circuit until the next success
   */
  public boolean isOpen() {
    return open;
  }
}
