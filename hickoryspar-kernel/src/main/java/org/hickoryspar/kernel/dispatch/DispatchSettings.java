package org.hickoryspar.kernel.dispatch;

/**
 * Times and limits of the dispatcher.
 *
 * @param leaseMillis length of the lease that each renewal grants a minion
 * @param maxLeaseMillis longest lease that a minion accepts
 * @param renewalWaitMillis how long a minion may hold the answer to a renewal back for an end
 * @param responseTimeoutMillis time after which an order without answer is sent again
 * @param startValidityMillis time after which a start must not take effect any more
 * @param stopTimeoutMillis longest time that a task takes to stop
 * @param gangTimeoutMillis how long a member of a gang waits for the others
 * @param crossRackFactor how much longer a task takes away from its rack
 * @param maxReclaimMillis time in which guaranteed work must have begun
 * @param retentionMillis how long the state of an ended workflow is kept
 * @param earlyStartMillis how much before its due time an occurrence may start
 */
public record DispatchSettings(
    long leaseMillis,
    long maxLeaseMillis,
    long renewalWaitMillis,
    long responseTimeoutMillis,
    long startValidityMillis,
    long stopTimeoutMillis,
    long gangTimeoutMillis,
    double crossRackFactor,
    long maxReclaimMillis,
    long retentionMillis,
    long earlyStartMillis) {

  /** A steady clock of a minion may be this much slow or fast. */
  static final int CLOCK_DRIFT_PERCENT = 2;

  /**
   * Checks the times.
   *
   * @throws IllegalArgumentException if the times contradict each other
   */
  public DispatchSettings {
    if (leaseMillis <= 0 || leaseMillis > maxLeaseMillis) {
      throw new IllegalArgumentException("expected 0 < lease <= longest lease");
    }
    if (renewalWaitMillis >= leaseMillis) {
      throw new IllegalArgumentException("expected the wait of a renewal to be below the lease");
    }
  }

  /** Returns a time after which a lease that was granted before has surely ended. */
  long leaseExpiryMillis() {
    return maxLeaseMillis * (100 + CLOCK_DRIFT_PERCENT) / 100 + responseTimeoutMillis;
  }
}
