package org.hickoryspar.kernel.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.hickoryspar.kernel.scheduling.GangShape;
import org.hickoryspar.kernel.scheduling.ResourceVector;
import org.hickoryspar.kernel.scheduling.SchedulingConfig;
import org.hickoryspar.kernel.scheduling.TeamPolicy;

/** Converts a fleet document to the configuration of the scheduler. */
final class SchedulingConfigConverter {

  private SchedulingConfigConverter() {}

  static SchedulingConfig convert(FleetDocument document, long version, long nowMillis) {
    List<FleetException> exceptions = document.exceptionsInForce(nowMillis);
    List<TeamPolicy> teams = new ArrayList<>();
    for (Map.Entry<String, Team> entry : document.teams().entrySet()) {
      teams.add(teamPolicy(entry.getKey(), entry.getValue(), exceptions));
    }
    Set<String> dataCentresOut = new TreeSet<>();
    document
        .dataCentres()
        .forEach(
            (name, dataCentre) -> {
              if (dataCentre.out()) {
                dataCentresOut.add(name);
              }
            });
    Set<String> workersOut = new TreeSet<>();
    for (FleetException exception : exceptions) {
      if (exception.kind() == ExceptionKind.WORKER_OUT) {
        workersOut.add(exception.target());
      }
    }
    return new SchedulingConfig(
        version, document.defaults().placementPolicy(), teams, dataCentresOut, workersOut);
  }

  private static TeamPolicy teamPolicy(String name, Team team, List<FleetException> exceptions) {
    ResourceVector quota = team.quota();
    double weight = team.weight();
    for (FleetException exception : exceptions) {
      if (!exception.target().equals(name)) {
        continue;
      }
      if (exception.value() instanceof FleetException.Quota changed) {
        quota = changed.quota();
      } else if (exception.value() instanceof FleetException.Weight changed) {
        weight = changed.weight();
      }
    }
    List<GangShape> guarantees = new ArrayList<>();
    for (Guarantee guarantee : team.guarantees()) {
      guarantees.addAll(Collections.nCopies(guarantee.count(), guarantee.shape()));
    }
    return new TeamPolicy(name, quota, weight, guarantees);
  }
}
