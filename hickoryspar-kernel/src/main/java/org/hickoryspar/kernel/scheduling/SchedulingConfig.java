package org.hickoryspar.kernel.scheduling;

import java.util.List;
import java.util.Set;

/**
 * The part of the fleet configuration that decides placement.
 *
 * @param version version of the fleet configuration
 * @param placementPolicy registered name, for example {@code "fragmentation"} or {@code
 *     "completion-time"}
 * @param teams the teams with their quotas and guarantees
 * @param dataCentresOut data centres in which nothing may start
 * @param workersOut workers on which nothing may start, by an operator's exception
 */
public record SchedulingConfig(
    long version,
    String placementPolicy,
    List<TeamPolicy> teams,
    Set<String> dataCentresOut,
    Set<String> workersOut) {

  /** Copies the collections. */
  public SchedulingConfig {
    teams = List.copyOf(teams);
    dataCentresOut = Set.copyOf(dataCentresOut);
    workersOut = Set.copyOf(workersOut);
  }
}
