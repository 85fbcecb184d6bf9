package org.hickoryspar.node.control;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hickoryspar.kernel.scheduling.GuaranteeReport;
import org.hickoryspar.node.observability.EventLogger;

/** Logs when a guarantee of a team can no longer be formed and when it can be formed again. */
final class GuaranteeMonitor {

  private Set<String> brokenTeams = new HashSet<>();

  void observe(List<GuaranteeReport> reports) {
    Set<String> nowBrokenTeams = new HashSet<>();
    for (GuaranteeReport report : reports) {
      if (!report.formable()
          && nowBrokenTeams.add(report.team())
          && !brokenTeams.contains(report.team())) {
        EventLogger.log(ControlEvent.GUARANTEE_BROKEN, report.team(), report.missing());
      }
    }
    for (String team : brokenTeams) {
      if (!nowBrokenTeams.contains(team)) {
        EventLogger.log(ControlEvent.GUARANTEE_RESTORED, team);
      }
    }
    brokenTeams = nowBrokenTeams;
  }
}
