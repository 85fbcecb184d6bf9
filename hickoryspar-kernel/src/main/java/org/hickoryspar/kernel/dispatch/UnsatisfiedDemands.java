package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.jspecify.annotations.Nullable;

/**
 * Demands that could not be placed in the current planning round. A demand that is at least as
 * large cannot be placed either, so its search is skipped.
 */
final class UnsatisfiedDemands {

  private final List<GroupDemand> demands = new ArrayList<>();

  void add(WaitingStep waitingStep, TaskGroup group, long estimatedRunMillis) {
    demands.add(new GroupDemand(waitingStep, group, estimatedRunMillis));
  }

  /**
   * Returns the next run of a group that could not be placed and whose demand is no larger than
   * that of the given one, or null if there is none.
   */
  @Nullable String findSimilar(WaitingStep waitingStep, TaskGroup group, long estimatedRunMillis) {
    for (GroupDemand demand : demands) {
      if (demand.isAtMost(waitingStep, group, estimatedRunMillis)) {
        return demand.waitingStep.nextRunOf(demand.group).toString();
      }
    }
    return null;
  }

  private record GroupDemand(WaitingStep waitingStep, TaskGroup group, long estimatedRunMillis) {

    boolean isAtMost(WaitingStep other, TaskGroup otherGroup, long otherRunMillis) {
      return group.size() <= otherGroup.size()
          && estimatedRunMillis <= otherRunMillis
          && !waitingStep.step().getSameRack()
          && waitingStep.step().getMaxTasksPerMinion() == 0
          && waitingStep.queue().getService().equals(other.queue().getService())
          && waitingStep.step().getRequiredLabel().equals(other.step().getRequiredLabel())
          && waitingStep.demand().fitsIn(other.demand());
    }
  }
}
