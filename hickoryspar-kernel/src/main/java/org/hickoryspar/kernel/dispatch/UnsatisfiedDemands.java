package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.List;

/** Demands for which no room was found in this round; a larger one finds none either. */
final class UnsatisfiedDemands {

  private final List<GroupDemand> demands = new ArrayList<>();

  void add(WaitingStep waiting, int size, long estimatedRunMillis) {
    demands.add(new GroupDemand(waiting, size, estimatedRunMillis));
  }

  /** Returns whether no room can be found because there was none for less. */
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
