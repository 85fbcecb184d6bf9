package org.hickoryspar.kernel.fleet;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hickoryspar.kernel.scheduling.ResourceVector;

/**
 * What a team is entitled to.
 *
 * @param quota the most that the team may hold at a time
 * @param weight share of the team in dominant-resource fairness, above 0
 * @param guarantees the shapes that the team can always reclaim
 */
public record Team(ResourceVector quota, double weight, List<Guarantee> guarantees) {

  /** Copies the guarantees. */
  public Team {
    requireNonNull(quota, "quota is null");
    guarantees = List.copyOf(guarantees);
  }
}
