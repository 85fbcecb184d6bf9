package org.hickoryspar.kernel.dispatch;

import java.util.List;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.protocol.Queue;
import org.hickoryspar.protocol.WorkflowStep;

/**
 * Computes the urgency of waiting steps. The completion target of a workflow is its critical path
 * times the stretch of its queue, plus a constant of the queue. A result is useful up to three
 * times the target.
 */
final class UrgencyCalculator {

  /** A result that takes longer than this multiple of the target is of little use. */
  private static final int MAX_LATENESS_FACTOR = 3;

  /** Time for the delivery of a start order; deducted from the strict limit of guaranteed work. */
  private static final long START_DELIVERY_MARGIN_MILLIS = 400;

  private final DispatchSettings settings;
  private final RunTimeEstimates runTimeEstimates;
  private final TeamDemand teamDemand;

  UrgencyCalculator(
      DispatchSettings settings, RunTimeEstimates runTimeEstimates, TeamDemand teamDemand) {
    this.settings = settings;
    this.runTimeEstimates = runTimeEstimates;
    this.teamDemand = teamDemand;
  }

  Urgency calculate(WaitingStep waitingStep, long wallMillis) {
    Workflow workflow = waitingStep.workflow();
    Queue queue = waitingStep.queue();
    long[] pathMillis = remainingPathMillis(workflow);
    long criticalPathMillis = 0;
    for (long stepPathMillis : pathMillis) {
      criticalPathMillis = Math.max(criticalPathMillis, stepPathMillis);
    }
    long targetMillis =
        (long) (queue.getStretch() * criticalPathMillis) + queue.getTargetCompletionMillis();
    long baseStartMillis = waitingStep.dueMillis() - pathMillis[waitingStep.stepIndex()];
    boolean guaranteed =
        PreemptionPlanner.mayPreempt(queue) && teamDemand.isWithinGuarantee(workflow);
    long latestInTimeStartMillis = baseStartMillis + targetMillis;
    long latestUsefulStartMillis = baseStartMillis + MAX_LATENESS_FACTOR * targetMillis;
    Urgency.TargetStatus targetStatus =
        wallMillis <= latestInTimeStartMillis
            ? Urgency.TargetStatus.IN_TIME
            : wallMillis <= latestUsefulStartMillis
                ? Urgency.TargetStatus.LATE
                : Urgency.TargetStatus.OVERDUE;
    long latestStartMillis =
        targetStatus == Urgency.TargetStatus.IN_TIME
            ? latestInTimeStartMillis
            : latestUsefulStartMillis;
    if (guaranteed && !workflow.isStarted()) {
      long guaranteedStartMillis =
          workflow.acceptedMillis() + settings.maxReclaimMillis() - START_DELIVERY_MARGIN_MILLIS;
      latestStartMillis = Math.min(latestStartMillis, guaranteedStartMillis);
    }
    return new Urgency(
        queue.getPriority(),
        targetStatus,
        latestStartMillis,
        runTimeEstimates.medianMillis(workflow, waitingStep.stepIndex()),
        runTimeEstimates.promisedMillis(workflow, waitingStep.stepIndex()),
        guaranteed);
  }

  /** Returns for each step the estimated time from its start to the end of the workflow. */
  private long[] remainingPathMillis(Workflow workflow) {
    List<WorkflowStep> steps = workflow.spec().getStepsList();
    long[] pathMillis = new long[steps.size()];
    // Steps depend only on steps with a lower index, so a descending pass sees dependents first.
    for (int i = steps.size() - 1; i >= 0; i--) {
      pathMillis[i] += runTimeEstimates.medianMillis(workflow, i);
      for (int dependency : steps.get(i).getDependsOnList()) {
        pathMillis[dependency] = Math.max(pathMillis[dependency], pathMillis[i]);
      }
    }
    return pathMillis;
  }
}
