package org.hickoryspar.kernel.scheduling;

import static java.util.Objects.requireNonNull;

/**
 * The usage of a team, as input of a queue policy.
 *
 * @param team the team
 * @param held resources that the gangs of the team hold or that are reserved for its jobs
 * @param fleetCapacity total capacity of the known workers
 * @param weight weight of the team, above 0
 * @param oldestSubmittedMillis replicated time at which the next job of the team was submitted
 */
public record TeamShare(
    String team,
    ResourceVector held,
    ResourceVector fleetCapacity,
    double weight,
    long oldestSubmittedMillis) {

  /**
   * Rejects null components.
   *
   * @throws NullPointerException if a component is null
   */
  public TeamShare {
    requireNonNull(team, "team is null");
    requireNonNull(held, "held is null");
    requireNonNull(fleetCapacity, "fleetCapacity is null");
  }
}
