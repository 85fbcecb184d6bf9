package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.jspecify.annotations.Nullable;

/**
 * Groups that found no place in the current planning round. The search for another group is skipped
 * only if it has no choice that the failed search did not have: the same minions and no smaller
 * demand or run time, no right to probe and no guarantee that the other group lacks. Work that may
 * preempt without a guarantee may be skipped all the same, as no preemption is promised to it.
 */
final class UnsatisfiedDemands {

  private final List<FailedSearch> failedSearches = new ArrayList<>();

  /**
   * Records a failed search.
   *
   * @param preemptionTried whether runs to preempt were looked for
   */
  void add(WaitingStep waitingStep, TaskGroup group, Urgency urgency, boolean preemptionTried) {
    // A group with failures, within one rack or with a limit per minion searches fewer minions.
    if (group.failures() == 0
        && !waitingStep.step().getSameRack()
        && waitingStep.step().getMaxTasksPerMinion() == 0) {
      failedSearches.add(new FailedSearch(waitingStep, group, urgency, preemptionTried));
    }
  }

  /**
   * Returns the next run of a group whose search has failed with at least the choice that a group
   * has, or null if there is none.
   */
  @Nullable String findSimilar(WaitingStep waitingStep, TaskGroup group, Urgency urgency) {
    for (FailedSearch failed : failedSearches) {
      if (failed.hadSameMinions(waitingStep)
          && failed.demandedAtMost(waitingStep, group, urgency)
          && failed.mightProbe(waitingStep, group)
          && failed.mightPreemptFor(urgency)) {
        return failed.waitingStep.nextRunOf(failed.group).toString();
      }
    }
    return null;
  }

  private record FailedSearch(
      WaitingStep waitingStep, TaskGroup group, Urgency urgency, boolean preemptionTried) {

    boolean hadSameMinions(WaitingStep other) {
      return waitingStep.queue().getService().equals(other.queue().getService())
          && waitingStep.step().getRequiredLabel().equals(other.step().getRequiredLabel());
    }

    boolean demandedAtMost(WaitingStep other, TaskGroup otherGroup, Urgency otherUrgency) {
      return group.size() <= otherGroup.size()
          && expectedRunMillis(waitingStep, urgency) <= expectedRunMillis(other, otherUrgency)
          && waitingStep.demand().fitsIn(other.demand());
    }

    private static long expectedRunMillis(WaitingStep step, Urgency urgency) {
      return step.step().getLongRunning()
          ? RemainingTimes.UNBOUNDED_MILLIS
          : urgency.promisedRunMillis();
    }

    boolean mightProbe(WaitingStep other, TaskGroup otherGroup) {
      return MinionSelector.mayProbe(waitingStep, group)
          || !MinionSelector.mayProbe(other, otherGroup);
    }

    // Only guaranteed work is promised a preemption.
    boolean mightPreemptFor(Urgency otherUrgency) {
      return !otherUrgency.isGuaranteed() || (preemptionTried && urgency.isGuaranteed());
    }
  }
}
