package org.hickoryspar.kernel.dispatch;

import org.hickoryspar.kernel.workflow.TaskGroup;
import org.jspecify.annotations.Nullable;

/**
 * Finds idle capacity for groups that the preferences of the planner keep waiting. Valid for one
 * planning round.
 */
final class IdleCapacityFinder {

  /**
   * Highest load that counts as low. No accepted work may wait in a service of which less than half
   * is in use; the margin covers tasks that have ended and whose end is not reported yet.
   */
  private static final int MAX_LOW_LOAD_PERCENT = 60;

  private final ServiceLoad serviceLoad;
  private final RunTable runs;
  private final MinionSelector minionSelector;

  IdleCapacityFinder(ServiceLoad serviceLoad, RunTable runs, MinionSelector minionSelector) {
    this.serviceLoad = serviceLoad;
    this.runs = runs;
    this.minionSelector = minionSelector;
  }

  /** Returns whether little of the scarcest resource of the service of a step is in use. */
  boolean hasLowLoad(WaitingStep waitingStep) {
    return serviceLoad.usedPercent(waitingStep.queue().getService()) <= MAX_LOW_LOAD_PERCENT;
  }

  /**
   * Returns the minions on which a group may start against the preferences, or null if there are
   * none. Long-running groups, and groups of a workflow without a run in a service with a low load,
   * may give up any preference. A group that has failed on all minions may return to them, and
   * keeps to reservations and racks. Other groups keep all preferences.
   *
   * @param endMillis monotonic time at which the group is expected to end
   */
  MinionSelector.@Nullable Selection find(
      WaitingStep waitingStep,
      TaskGroup group,
      MinionPools.Pool pool,
      MinionTaskLimit taskLimit,
      long endMillis) {
    boolean nothingRuns = !runs.hasRun(waitingStep.workflow());
    if (waitingStep.step().getLongRunning() || (nothingRuns && hasLowLoad(waitingStep))) {
      return minionSelector.selectByRequirements(waitingStep, group, pool, taskLimit);
    }
    return minionSelector.selectAfterFailureOnAll(waitingStep, group, pool, taskLimit, endMillis);
  }
}
