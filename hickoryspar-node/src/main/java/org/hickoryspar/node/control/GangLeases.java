package org.hickoryspar.node.control;

import java.util.HashMap;
import java.util.Map;
import org.hickoryspar.protocol.JobRecord;
import org.hickoryspar.protocol.TaskPlacement;

/**
 * The times at which the leases of one gang end at the latest, as seen by this leader.
 *
 * <p>Confined to the scheduling loop.
 */
final class GangLeases {

  /** Length of a task lease; bounds how long part of a gang may run without the rest. */
  static final long LEASE_MILLIS = 10_000;

  /** Leases are renewed at this interval, so that two renewals may be lost. */
  static final long RENEWAL_INTERVAL_MILLIS = 3_000;

  /** Allowance for clocks that run at different speeds: 10% of the lease. */
  static final long CLOCK_DRIFT_MILLIS = LEASE_MILLIS / 10;

  private final Map<String, Long> expiryMillisByLease = new HashMap<>();
  private final Map<String, Long> confirmedMillisByLease = new HashMap<>();
  private final Map<String, Boolean> stoppedLeases = new HashMap<>();

  /** The leases may have been renewed just before this leader took over. */
  GangLeases(JobRecord job, long nowMillis) {
    for (TaskPlacement placement : job.getPlacementsList()) {
      expiryMillisByLease.put(
          placement.getLeaseId(), nowMillis + LEASE_MILLIS + CLOCK_DRIFT_MILLIS);
      confirmedMillisByLease.put(placement.getLeaseId(), nowMillis);
    }
  }

  /** Records that a renewal was sent; it may take effect even when no answer comes. */
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

  /** Returns whether no worker has confirmed a lease for a while. */
  boolean isUnconfirmed(String leaseId, long nowMillis, long timeoutMillis) {
    return nowMillis - confirmedMillisByLease.getOrDefault(leaseId, nowMillis) > timeoutMillis;
  }
}
