package org.hickoryspar.kernel.dispatch;

import static java.util.Objects.requireNonNull;

import org.hickoryspar.kernel.minion.MinionClock;
import org.hickoryspar.kernel.runtime.RunTimeSource;

/**
 * Times and limits of the dispatcher.
 *
 * @param leaseMillis duration of the lease that each renewal grants a minion
 * @param maxLeaseMillis longest lease that a minion accepts
 * @param renewalWaitMillis how long a minion may hold back the response to a renewal until a task
 *     ends
 * @param responseTimeoutMillis time after which an order without a response is retransmitted
 * @param startValidityMillis time after which a start order must no longer take effect
 * @param stopTimeoutMillis longest time that a task takes to stop
 * @param gangTimeoutMillis how long a member of a gang waits for the other members
 * @param crossRackFactor factor by which the tasks of a gang run longer across racks
 * @param maxReclaimMillis time from acceptance within which guaranteed work must have started
 * @param retentionMillis how long the state of an ended workflow is kept
 * @param earlyStartMillis how long before its due time an occurrence may start
 * @param quotaTolerance share of its quota by which a team may exceed it, from 0
 * @param runTimeSource where predictions of run times come from
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
    long earlyStartMillis,
    double quotaTolerance,
    RunTimeSource runTimeSource) {

  /**
   * Checks the times that depend on each other.
   *
   * @throws IllegalArgumentException if {@code leaseMillis} is not positive or exceeds {@code
   *     maxLeaseMillis}, if {@code renewalWaitMillis} is not less than {@code leaseMillis}, or if
   *     {@code quotaTolerance} is negative
   */
  public DispatchSettings {
    requireNonNull(runTimeSource, "runTimeSource is null");
    if (leaseMillis <= 0 || leaseMillis > maxLeaseMillis) {
      throw new IllegalArgumentException("leaseMillis must be positive and at most maxLeaseMillis");
    }
    if (renewalWaitMillis >= leaseMillis) {
      throw new IllegalArgumentException("renewalWaitMillis must be less than leaseMillis");
    }
    if (!(quotaTolerance >= 0)) {
      throw new IllegalArgumentException("quotaTolerance must be at least 0");
    }
  }

  /**
   * Returns the time in milliseconds after which all leases granted before now have expired, even
   * on the slowest clock.
   */
  long leaseExpiryMillis() {
    return maxLeaseMillis * (100 + MinionClock.MAX_DRIFT_PERCENT) / 100 + responseTimeoutMillis;
  }

  /**
   * Returns the time in milliseconds after which a task has ended on a minion that has not
   * responded since it listed the task. The renewal after that response may have reached it.
   */
  long strayExpiryMillis() {
    return renewalWaitMillis + responseTimeoutMillis + leaseExpiryMillis();
  }

  /**
   * Returns these settings with another source of predictions.
   *
   * @param source where predictions of run times come from
   * @return a copy that differs only in the source
   */
  public DispatchSettings withRunTimeSource(RunTimeSource source) {
    return new DispatchSettings(
        leaseMillis,
        maxLeaseMillis,
        renewalWaitMillis,
        responseTimeoutMillis,
        startValidityMillis,
        stopTimeoutMillis,
        gangTimeoutMillis,
        crossRackFactor,
        maxReclaimMillis,
        retentionMillis,
        earlyStartMillis,
        quotaTolerance,
        source);
  }
}
