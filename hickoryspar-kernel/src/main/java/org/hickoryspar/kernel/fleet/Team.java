package org.hickoryspar.kernel.fleet;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hickoryspar.kernel.scheduling.ResourceVector;

/**
 * The entitlements of a team.
 *
 * @param quota maximum resources that the team may hold at a time
 * @param weight weight of the team in dominant-resource fairness, above 0
 * @param guarantees gang shapes that the team can always reclaim
 */
public record Team(ResourceVector quota, double weight, List<Guarantee> guarantees) {

  /** Copies the guarantees; throws {@link NullPointerException} if a component is null. */
  public Team {
    requireNonNull(quota, "quota is null");
    guarantees = List.copyOf(guarantees);
  }
}
