package org.hickoryspar.kernel.fleet;

import static java.util.Objects.requireNonNull;

/**
 * Default values for the whole fleet, which services and exceptions may override.
 *
 * @param placementPolicy registered name of the placement policy
 * @param deadlineMillis deadline of a request that does not set one, in milliseconds
 * @param queueLength maximum number of queued requests per service in one entry
 * @param claimsPerTeam maximum number of idempotency keys kept per team; further requests are not
 *     run
 * @param retryBudgetPercent maximum retries as a percentage of the requests
 * @param checkpointLimitMillis maximum wait for the checkpoint of a preempted task, in milliseconds
 */
public record FleetDefaults(
    String placementPolicy,
    long deadlineMillis,
    long queueLength,
    long claimsPerTeam,
    long retryBudgetPercent,
    long checkpointLimitMillis) {

  /** The defaults of a document that does not set any. */
  public static final FleetDefaults STANDARD =
      new FleetDefaults("fragmentation", 30_000, 1_000, 100_000, 10, 5_000);

  /** Throws {@link NullPointerException} if {@code placementPolicy} is null. */
  public FleetDefaults {
    requireNonNull(placementPolicy, "placementPolicy is null");
  }
}
