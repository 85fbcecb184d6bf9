package org.hickoryspar.kernel.scheduling;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Decides by exhaustive search whether shapes can be formed at the same time; for small fleets
 * only, as the search takes exponential time.
 */
final class ExactGuaranteeCheck {

  private final Map<String, ResourceVector> available;
  private final Map<String, String> rackOf;
  private final List<String> workerIds;
  private final List<GangShape> shapes;

  ExactGuaranteeCheck(
      Map<String, ResourceVector> available, Map<String, String> rackOf, List<GangShape> shapes) {
    this.available = new HashMap<>(available);
    this.rackOf = rackOf;
    this.workerIds = available.keySet().stream().sorted().toList();
    this.shapes = shapes;
  }

  boolean isFormable() {
    return place(0, 0, 0, null);
  }

  /**
   * Places the next task of a shape, and then all others, on workers from index {@code firstWorker}
   * on: as the tasks of a shape are equal, only ascending orders of workers are tried.
   */
  private boolean place(int shapeIndex, int taskIndex, int firstWorker, String lastWorkerId) {
    if (shapeIndex == shapes.size()) {
      return true;
    }
    GangShape shape = shapes.get(shapeIndex);
    if (taskIndex == shape.tasks()) {
      return place(shapeIndex + 1, 0, 0, null);
    }
    for (int i = firstWorker; i < workerIds.size(); i++) {
      String workerId = workerIds.get(i);
      boolean adjacent =
          lastWorkerId == null
              || shape.adjacency() == Adjacency.NONE
              || (shape.adjacency() == Adjacency.WORKER && lastWorkerId.equals(workerId))
              || (shape.adjacency() == Adjacency.RACK
                  && Objects.equals(rackOf.get(lastWorkerId), rackOf.get(workerId)));
      ResourceVector free = available.get(workerId);
      if (adjacent && shape.perTask().fitsIn(free)) {
        available.put(workerId, free.minus(shape.perTask()));
        boolean found = place(shapeIndex, taskIndex + 1, i, workerId);
        available.put(workerId, free);
        if (found) {
          return true;
        }
      }
    }
    return false;
  }
}
