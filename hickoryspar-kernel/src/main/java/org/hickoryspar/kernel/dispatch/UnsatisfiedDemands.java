package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.List;

/**
 * Demands that could not be placed in the current planning round. A demand that is at least as
 * large cannot be placed either, so its search is skipped.
 */
final class UnsatisfiedDemands {

  private final List<GroupDemand> demands = new ArrayList<>();

  void add(WaitingStep waiting, int size, long estimatedRunMillis) {
    demands.add(new GroupDemand(waiting, size, estimatedRunMillis));
  }

  /** Returns whether a demand that is no larger than the given one could not be placed. */
  boolean isUnsatisfiable(WaitingStep waiting, int size, long estimatedRunMillis) {
    for (GroupDemand demand : demands) {
      if (demand.isAtMost(waiting, size, estimatedRunMillis)) {
        return true;
      }
    }
    return false;
  }

  private record GroupDemand(WaitingStep waiting, int size, long estimatedRunMillis) {

    boolean isAtMost(WaitingStep other, int otherSize, long otherRunMillis) {
      return size <= otherSize
          && estimatedRunMillis <= otherRunMillis
          && !waiting.step().getSameRack()
          && waiting.step().getMaxTasksPerMinion() == 0
          && waiting.queue().getService().equals(other.queue().getService())
          && waiting.step().getRequiredLabel().equals(other.step().getRequiredLabel())
          && waiting.demand().fitsIn(other.demand());
    }
  }
}
