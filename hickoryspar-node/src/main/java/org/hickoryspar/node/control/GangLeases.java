package org.hickoryspar.node.control;

import java.util.HashMap;
import java.util.Map;
import org.hickoryspar.protocol.JobRecord;
import org.hickoryspar.protocol.TaskPlacement;

/**
 * Tracks for each lease of a gang the latest time at which it expires and the time of its last
 * confirmation, in milliseconds of the leader's monotonic clock.
 *
 * <p>Confined to the scheduling loop.
 */
final class GangLeases {

  /**
   * Duration of a task lease; limits the time for which part of a gang can run without the rest.
   */
  static final long LEASE_MILLIS = 10_000;

  /** Interval between renewals, short enough that two of them may be lost. */
  static final long RENEWAL_INTERVAL_MILLIS = 3_000;

  /** Allowance for clocks that run at different rates: 10% of the lease. */
  static final long CLOCK_DRIFT_MILLIS = LEASE_MILLIS / 10;

  private final Map<String, Long> expiryMillisByLease = new HashMap<>();
  private final Map<String, Long> confirmedMillisByLease = new HashMap<>();
  private final Map<String, Boolean> stoppedLeases = new HashMap<>();

  /** Assumes renewals at {@code nowMillis}, as the previous leader may have sent one until then. */
  GangLeases(JobRecord job, long nowMillis) {
    for (TaskPlacement placement : job.getPlacementsList()) {
      expiryMillisByLease.put(
          placement.getLeaseId(), nowMillis + LEASE_MILLIS + CLOCK_DRIFT_MILLIS);
      confirmedMillisByLease.put(placement.getLeaseId(), nowMillis);
    }
  }

  /** Records that a renewal was sent, which may take effect even if no response arrives. */
  void recordRenewalSent(long nowMillis) {
    expiryMillisByLease.replaceAll(
        (lease, previousExpiryMillis) -> nowMillis + LEASE_MILLIS + CLOCK_DRIFT_MILLIS);
  }

  void recordConfirmation(String leaseId, long nowMillis) {
    confirmedMillisByLease.replace(leaseId, nowMillis);
  }

  void recordStop(String leaseId) {
    stoppedLeases.put(leaseId, true);
  }

  boolean isEnded(String leaseId, long nowMillis) {
    return stoppedLeases.containsKey(leaseId)
        || expiryMillisByLease.getOrDefault(leaseId, 0L) <= nowMillis;
  }

  boolean allEnded(long nowMillis) {
    return expiryMillisByLease.keySet().stream().allMatch(lease -> isEnded(lease, nowMillis));
  }

  /** Returns whether the last confirmation of a lease is older than the timeout. */
  boolean isUnconfirmed(String leaseId, long nowMillis, long timeoutMillis) {
    return nowMillis - confirmedMillisByLease.getOrDefault(leaseId, nowMillis) > timeoutMillis;
  }
}
