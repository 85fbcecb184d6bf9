package org.hickoryspar.kernel.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.hickoryspar.kernel.catalog.CatalogState;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.protocol.WorkflowStep;

/**
 * Tracks how many accelerators each team demands for its open workflows that may preempt. The
 * demand of a workflow is that of the step with the most accelerators.
 */
final class TeamDemand {

  private final CatalogState catalog;
  private final Map<String, WorkflowDemand> demandByWorkflow = new HashMap<>();
  private final Map<String, Long> acceleratorsByTeam = new HashMap<>();

  TeamDemand(CatalogState catalog) {
    this.catalog = catalog;
  }

  /** Adds an accepted workflow or removes an ended one. */
  void update(Workflow workflow) {
    if (!PreemptionPlanner.mayPreempt(workflow.queue())) {
      return;
    }
    if (workflow.isEnded()) {
      WorkflowDemand demand = demandByWorkflow.remove(workflow.id());
      if (demand != null) {
        acceleratorsByTeam.merge(demand.team, -demand.accelerators, Long::sum);
      }
    } else if (!demandByWorkflow.containsKey(workflow.id())) {
      WorkflowDemand demand =
          new WorkflowDemand(workflow.submission().getTeam(), peakAccelerators(workflow));
      demandByWorkflow.put(workflow.id(), demand);
      acceleratorsByTeam.merge(demand.team, demand.accelerators, Long::sum);
    }
  }

  private static long peakAccelerators(Workflow workflow) {
    long peak = 0;
    for (WorkflowStep step : workflow.spec().getStepsList()) {
      peak = Math.max(peak, (long) step.getTasks() * step.getDemand().getAccelerators());
    }
    return peak;
  }

  /** Returns whether the demand of the workflow's team does not exceed the team's guarantee. */
  boolean isWithinGuarantee(Workflow workflow) {
    String team = workflow.submission().getTeam();
    return acceleratorsByTeam.getOrDefault(team, 0L) <= catalog.view().guaranteedAccelerators(team);
  }

  private record WorkflowDemand(String team, long accelerators) {}
}
