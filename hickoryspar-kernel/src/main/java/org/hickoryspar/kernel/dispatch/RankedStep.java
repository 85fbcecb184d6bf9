package org.hickoryspar.kernel.dispatch;

import org.hickoryspar.kernel.ranking.BacklogItem;
import org.hickoryspar.kernel.value.Resources;

/**
 * A waiting step with its urgency.
 *
 * @param waitingStep the step
 * @param urgency its urgency
 */
record RankedStep(WaitingStep waitingStep, Urgency urgency) {

  String service() {
    return waitingStep.queue().getService();
  }

  /** Returns what the order of an overloaded service depends on. */
  BacklogItem toBacklogItem() {
    String workflowId = waitingStep.workflow().id();
    boolean isLongRunning = waitingStep.step().getLongRunning();
    return new BacklogItem(
        workflowId + '.' + waitingStep.occurrence() + '.' + waitingStep.stepIndex(),
        waitingStep.team(),
        urgency.priority(),
        chance(),
        urgency.isGuaranteed() || isLongRunning,
        demandOfAllTasks(),
        isLongRunning ? RemainingTimes.UNBOUNDED_MILLIS : urgency.estimatedRunMillis(),
        waitingStep.dueMillis(),
        urgency.latestStartMillis());
  }

  private BacklogItem.Chance chance() {
    return switch (urgency.targetStatus()) {
      case IN_TIME -> BacklogItem.Chance.IN_TIME;
      case LATE -> BacklogItem.Chance.LATE;
      case OVERDUE -> BacklogItem.Chance.OVERDUE;
    };
  }

  private Resources demandOfAllTasks() {
    int tasks = 0;
    for (var group : waitingStep.groups()) {
      tasks += group.size();
    }
    return waitingStep.demand().times(tasks);
  }
}
