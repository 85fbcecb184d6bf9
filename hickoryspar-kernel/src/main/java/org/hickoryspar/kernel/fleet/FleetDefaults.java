package org.hickoryspar.kernel.fleet;

import static java.util.Objects.requireNonNull;

/**
 * Values that hold for the whole fleet unless a service or an exception says otherwise.
 *
 * @param placementPolicy registered name of the placement policy
 * @param deadlineMillis deadline of a request that names none
 * @param queueLength most requests that wait in one entry, per service
 * @param claimsPerTeam most idempotency keys that are kept per team; beyond it requests are not run
 * @param retryBudgetPercent retries as a share of requests
 * @param checkpointLimitMillis longest wait for the checkpoint of a preempted task
 */
public record FleetDefaults(
    String placementPolicy,
    long deadlineMillis,
    long queueLength,
    long claimsPerTeam,
    long retryBudgetPercent,
    long checkpointLimitMillis) {

  /** The values of a document that states none; the numbers are those of the design page. */
  public static final FleetDefaults STANDARD =
      new FleetDefaults("fragmentation", 30_000, 1_000, 100_000, 10, 5_000);

  /** Checks the components. */
  public FleetDefaults {
    requireNonNull(placementPolicy, "placementPolicy is null");
  }
}
