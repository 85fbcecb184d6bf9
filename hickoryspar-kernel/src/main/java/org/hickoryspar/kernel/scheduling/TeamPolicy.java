package org.hickoryspar.kernel.scheduling;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * The quota, weight and guarantees of a team.
 *
 * @param team the team
 * @param quota maximum resources that the team may hold at a time; jobs beyond it wait
 * @param weight weight of the team in dominant-resource fairness, above 0
 * @param guarantees the shapes that the team can reclaim at any time, all at once; a shape that is
 *     listed twice is guaranteed twice
 */
public record TeamPolicy(
    String team, ResourceVector quota, double weight, List<GangShape> guarantees) {

  /**
   * Copies the list of guarantees.
   *
   * @throws NullPointerException if a component or a guarantee is null
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
