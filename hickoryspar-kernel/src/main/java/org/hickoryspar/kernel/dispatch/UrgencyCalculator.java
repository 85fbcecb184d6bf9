package org.hickoryspar.kernel.dispatch;

import java.util.List;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.protocol.Queue;
import org.hickoryspar.protocol.WorkflowStep;

/**
 * Finds out how urgent waiting steps are. The objective of a workflow is its longest chain of work
 * times the stretch of its queue, plus a constant; up to three times that is late.
 */
final class UrgencyCalculator {

  private static final int LATE_FACTOR = 3;

  /** Kept for the way of a start to its minion, when a time limit is strict. */
  private static final long START_MARGIN_MILLIS = 400;

  private final DispatchSettings settings;
  private final RunTimeEstimates estimates;
  private final TeamDemand needs;

  UrgencyCalculator(DispatchSettings settings, RunTimeEstimates estimates, TeamDemand needs) {
    this.settings = settings;
    this.estimates = estimates;
    this.needs = needs;
  }

  Urgency of(WaitingStep waiting, long wallMillis) {
    Workflow workflow = waiting.workflow();
    Queue queue = waiting.queue();
    List<WorkflowStep> steps = workflow.spec().getStepsList();
    long[] chains = chains(queue, steps);
    long longestMillis = 0;
    for (long chain : chains) {
      longestMillis = Math.max(longestMillis, chain);
    }
    long objectiveMillis =
        (long) (queue.getStretch() * longestMillis) + queue.getTargetCompletionMillis();
    long startMillis = waiting.sinceMillis() - chains[waiting.stepIndex()];
    boolean guaranteed = PreemptionPlanner.mayPreempt(queue) && needs.isGuaranteed(workflow);
    long expectedMillis = estimates.wholeMillis(queue.getName(), steps.get(waiting.stepIndex()));
    long inTime = startMillis + objectiveMillis;
    long late = startMillis + LATE_FACTOR * objectiveMillis;
    Urgency.TargetStatus prospect =
        wallMillis <= inTime
            ? Urgency.TargetStatus.IN_TIME
            : wallMillis <= late ? Urgency.TargetStatus.LATE : Urgency.TargetStatus.OVERDUE;
    long latestStart = prospect == Urgency.TargetStatus.IN_TIME ? inTime : late;
    if (guaranteed && !workflow.isStarted()) {
      long limit = workflow.acceptedMillis() + settings.reclaimMillis() - START_MARGIN_MILLIS;
      latestStart = Math.min(latestStart, limit);
    }
    return new Urgency(queue.getPriority(), prospect, latestStart, expectedMillis, guaranteed);
  }

  /** Returns for each step the expected time from its start to the end of the workflow. */
  private long[] chains(Queue queue, List<WorkflowStep> steps) {
    long[] chains = new long[steps.size()];
    // A step depends on earlier ones only, so the later ones are known when their turn comes.
    for (int i = steps.size() - 1; i >= 0; i--) {
      WorkflowStep step = steps.get(i);
      chains[i] += estimates.wholeMillis(queue.getName(), step);
      for (int earlier : step.getDependsOnList()) {
        chains[earlier] = Math.max(chains[earlier], chains[i]);
      }
    }
    return chains;
  }
}
