package org.hickoryspar.kernel.scheduling;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * What a team is entitled to.
 *
 * @param team the team
 * @param quota the most that the team may hold at a time; work beyond it waits
 * @param weight share of the team in dominant-resource fairness, above 0
 * @param guarantees the shapes that must be reclaimable for the team at any time; a shape that is
 *     listed twice is guaranteed twice
 */
public record TeamPolicy(
    String team, ResourceVector quota, double weight, List<GangShape> guarantees) {

  /**
   * Checks the components.
   *
   * @throws IllegalArgumentException if the weight is not above 0
   */
  public TeamPolicy {
    requireNonNull(team, "team is null");
    requireNonNull(quota, "quota is null");
    guarantees = List.copyOf(guarantees);
    if (!(weight > 0)) {
      throw new IllegalArgumentException("weight of team " + team + " must be above 0");
    }
  }
}
