package org.hickoryspar.kernel.quota;

import static java.util.Objects.requireNonNull;

import org.hickoryspar.kernel.value.Resources;

/**
 * Use and quota of a team at one time.
 *
 * @param team name of the team
 * @param inUse what the team has in use
 * @param quota the most that it may have in use; an amount of 0 is no limit
 * @param dominantShare share of all capacity that the team has in use of the resource of which it
 *     uses the largest share, from 0
 */
public record TeamQuotaStatus(String team, Resources inUse, Resources quota, double dominantShare) {

  /**
   * Rejects missing components.
   *
   * @throws NullPointerException if a component is null
   */
  public TeamQuotaStatus {
    requireNonNull(team, "team is null");
    requireNonNull(inUse, "inUse is null");
    requireNonNull(quota, "quota is null");
  }

  static TeamQuotaStatus of(String team, Resources inUse, Resources quota, Resources capacity) {
    double dominantShare = 0;
    for (LimitedResource resource : LimitedResource.values()) {
      long all = resource.amountIn(requireNonNull(capacity, "capacity is null"));
      if (all > 0) {
        dominantShare = Math.max(dominantShare, (double) resource.amountIn(inUse) / all);
      }
    }
    return new TeamQuotaStatus(team, inUse, quota, dominantShare);
  }
}
