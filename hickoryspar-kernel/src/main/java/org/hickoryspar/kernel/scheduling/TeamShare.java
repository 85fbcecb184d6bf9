package org.hickoryspar.kernel.scheduling;

import static java.util.Objects.requireNonNull;

/**
 * What a queue policy may know of a team.
 *
 * @param team the team
 * @param held what the team's gangs hold and what is reserved for its jobs
 * @param fleetCapacity all known resources
 * @param weight weight of the team, above 0
 * @param oldestSubmittedMillis replicated time at which the job that is tried next was submitted
 */
public record TeamShare(
    String team,
    ResourceVector held,
    ResourceVector fleetCapacity,
    double weight,
    long oldestSubmittedMillis) {

  /** Checks the components. */
  public TeamShare {
    requireNonNull(team, "team is null");
    requireNonNull(held, "held is null");
    requireNonNull(fleetCapacity, "fleetCapacity is null");
  }
}
