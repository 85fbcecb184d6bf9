package org.hickoryspar.kernel.scheduling;

import java.util.function.IntPredicate;
import org.jspecify.annotations.Nullable;

/**
 * The criteria of a search for placements.
 *
 * @param tasks number of tasks
 * @param adjacency how close together the tasks must run
 * @param index the capacity that must hold the tasks; also determines the order of workers
 * @param perTask the resources of each task in {@code index}
 * @param limit a second index whose capacity must hold the tasks as well, or null
 * @param allowed accepts the numbers of the workers that may be used, among the usable ones
 */
record PlacementQuery(
    int tasks,
    Adjacency adjacency,
    CapacityIndex index,
    ResourceVector perTask,
    @Nullable Limit limit,
    IntPredicate allowed) {

  /**
   * A second index whose capacity must hold the tasks.
   *
   * @param index the capacity
   * @param perTask the resources of each task in {@code index}
   */
  record Limit(CapacityIndex index, ResourceVector perTask) {}

  /** Returns a query for a shape in one index without further limits. */
  static PlacementQuery of(GangShape shape, CapacityIndex index) {
    return new PlacementQuery(
        shape.tasks(), shape.adjacency(), index, shape.perTask(), null, worker -> true);
  }

  /** Returns how many of the tasks fit on a worker. */
  int countFitting(int worker) {
    int fitting = Math.min(tasks, index.countFitting(worker, perTask));
    if (limit != null && fitting > 0) {
      fitting = Math.min(fitting, limit.index().countFitting(worker, limit.perTask()));
    }
    return fitting > 0 && allowed.test(worker) ? fitting : 0;
  }

  int acceleratorsPerTask() {
    return perTask.accelerators();
  }
}
