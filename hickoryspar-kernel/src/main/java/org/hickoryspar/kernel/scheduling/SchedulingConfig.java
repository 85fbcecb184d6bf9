package org.hickoryspar.kernel.scheduling;

import java.util.List;
import java.util.Set;

/**
 * The part of the fleet configuration that affects scheduling.
 *
 * @param version version of the fleet configuration
 * @param placementPolicy name of a registered placement policy, for example {@code "fragmentation"}
 *     or {@code "completion-time"}
 * @param teams the teams with their quotas and guarantees
 * @param dataCentresOut data centres that are out of service; no gang starts there
 * @param workersOut workers that an exception in the fleet configuration takes out of service
 */
public record SchedulingConfig(
    long version,
    String placementPolicy,
    List<TeamPolicy> teams,
    Set<String> dataCentresOut,
    Set<String> workersOut) {

  /**
   * Copies the collections.
   *
   * @throws NullPointerException if a component or an element is null
   */
  public SchedulingConfig {
    teams = List.copyOf(teams);
    dataCentresOut = Set.copyOf(dataCentresOut);
    workersOut = Set.copyOf(workersOut);
  }
}
