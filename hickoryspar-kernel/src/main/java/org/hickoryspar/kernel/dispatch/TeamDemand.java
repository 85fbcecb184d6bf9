package org.hickoryspar.kernel.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.hickoryspar.kernel.catalog.CatalogState;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.protocol.WorkflowStep;

/** How many accelerators the guaranteed work of each team needs that has not ended. */
final class TeamDemand {

  private final CatalogState catalog;
  private final Map<String, WorkflowDemand> byWorkflow = new HashMap<>();
  private final Map<String, Long> acceleratorsByTeam = new HashMap<>();

  TeamDemand(CatalogState catalog) {
    this.catalog = catalog;
  }

  /** Takes note of a workflow that was accepted, or has ended. */
  void update(Workflow workflow) {
    if (!PreemptionPlanner.mayPreempt(workflow.queue())) {
      return;
    }
    if (workflow.isEnded()) {
      WorkflowDemand need = byWorkflow.remove(workflow.id());
      if (need != null) {
        acceleratorsByTeam.merge(need.team, -need.accelerators, Long::sum);
      }
    } else if (!byWorkflow.containsKey(workflow.id())) {
      WorkflowDemand need = new WorkflowDemand(workflow.submission().getTeam(), widest(workflow));
      byWorkflow.put(workflow.id(), need);
      acceleratorsByTeam.merge(need.team, need.accelerators, Long::sum);
    }
  }

  private static long widest(Workflow workflow) {
    long widest = 0;
    for (WorkflowStep step : workflow.spec().getStepsList()) {
      widest = Math.max(widest, (long) step.getTasks() * step.getDemand().getAccelerators());
    }
    return widest;
  }

  /** Returns whether all open work of a workflow's team is within the team's guarantee. */
  boolean isGuaranteed(Workflow workflow) {
    String team = workflow.submission().getTeam();
    return acceleratorsByTeam.getOrDefault(team, 0L) <= catalog.view().guaranteedAccelerators(team);
  }

  private record WorkflowDemand(String team, long accelerators) {}
}
