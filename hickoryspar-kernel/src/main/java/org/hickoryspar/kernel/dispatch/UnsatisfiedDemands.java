package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.List;

/** Demands for which no room was found in this round; a larger one finds none either. */
final class UnsatisfiedDemands {

  private final List<GroupDemand> shapes = new ArrayList<>();

  void add(WaitingStep waiting, int size, long expectedMillis) {
    shapes.add(new GroupDemand(waiting, size, expectedMillis));
  }

  /** Returns whether no room can be found because there was none for less. */
  boolean covers(WaitingStep waiting, int size, long expectedMillis) {
    for (GroupDemand shape : shapes) {
      if (shape.isWithin(waiting, size, expectedMillis)) {
        return true;
      }
    }
    return false;
  }

  private record GroupDemand(WaitingStep waiting, int size, long expectedMillis) {

    boolean isWithin(WaitingStep other, int otherSize, long otherExpectedMillis) {
      return size <= otherSize
          && expectedMillis <= otherExpectedMillis
          && !waiting.step().getSameRack()
          && waiting.step().getMaxTasksPerMinion() == 0
          && waiting.queue().getService().equals(other.queue().getService())
          && waiting.step().getRequiredLabel().equals(other.step().getRequiredLabel())
          && waiting.demand().isWithin(other.demand());
    }
  }
}
