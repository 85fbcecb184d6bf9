package org.hickoryspar.kernel.dispatch;

import org.hickoryspar.kernel.workflow.TaskGroup;
import org.jspecify.annotations.Nullable;

/**
 * Finds idle capacity for groups that the preferences of the planner keep waiting. Valid for one
 * planning round.
 */
final class IdleCapacityFinder {

  /**
   * A service of which more is in use is not regarded as idle. No accepted work may wait beside a
   * service of which less than half is in use; the rest allows for ends that are not known yet.
   */
  private static final int MAX_IDLE_LOAD_PERCENT = 60;

  private final ServiceLoad serviceLoad;
  private final RunTable runs;
  private final MinionSelector minionSelector;

  IdleCapacityFinder(ServiceLoad serviceLoad, RunTable runs, MinionSelector minionSelector) {
    this.serviceLoad = serviceLoad;
    this.runs = runs;
    this.minionSelector = minionSelector;
  }

  /** Returns whether the service of a step has room for all its work. */
  boolean isMostlyIdle(WaitingStep waitingStep) {
    return serviceLoad.usedPercent(waitingStep.queue().getService()) <= MAX_IDLE_LOAD_PERCENT;
  }

  /**
   * Returns the minions on which a group may start against the preferences, or null if there are
   * none. A mostly idle service has room for all, so no preference may keep work waiting there. In
   * a busy one, reservations and racks are kept, with two exceptions: long-running work, whose
   * users wait at any load, and a group that has failed on all minions.
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
    if (waitingStep.step().getLongRunning() || (nothingRuns && isMostlyIdle(waitingStep))) {
      return minionSelector.selectRequired(waitingStep, group, pool, taskLimit);
    }
    return minionSelector.selectAfterFailureOnAll(waitingStep, group, pool, taskLimit, endMillis);
  }
}
