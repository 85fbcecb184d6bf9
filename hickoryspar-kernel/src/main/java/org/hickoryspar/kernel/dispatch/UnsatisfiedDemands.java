package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * Demands that could not be placed in the current planning round. A demand that is at least as
 * large cannot be placed either, so its search is skipped.
 */
final class UnsatisfiedDemands {

  private final List<GroupDemand> demands = new ArrayList<>();

  void add(WaitingStep waitingStep, int size, long estimatedRunMillis) {
    demands.add(new GroupDemand(waitingStep, size, estimatedRunMillis));
  }

  /** Returns whether a demand that is no larger than the given one could not be placed. */
  boolean isUnsatisfiable(WaitingStep waitingStep, int size, long estimatedRunMillis) {
    for (GroupDemand demand : demands) {
      if (demand.isAtMost(waitingStep, size, estimatedRunMillis)) {
        return true;
      }
    }
    return false;
  }

  private record GroupDemand(WaitingStep waitingStep, int size, long estimatedRunMillis) {

    boolean isAtMost(WaitingStep other, int otherSize, long otherRunMillis) {
      return size <= otherSize
          && estimatedRunMillis <= otherRunMillis
          && !waitingStep.step().getSameRack()
          && waitingStep.step().getMaxTasksPerMinion() == 0
          && waitingStep.queue().getService().equals(other.queue().getService())
          && waitingStep.step().getRequiredLabel().equals(other.step().getRequiredLabel())
          && waitingStep.demand().fitsIn(other.demand());
    }
  }
}
