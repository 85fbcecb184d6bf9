package org.hickoryspar.kernel.scheduling;

import java.util.function.IntPredicate;
import org.jspecify.annotations.Nullable;

/**
 * What a search for a placement must respect.
 *
 * @param tasks number of tasks
 * @param adjacency how close together the tasks must be
 * @param index the amounts from which each task takes, and by which workers are visited
 * @param perTask what each task takes
 * @param limit a second index that must have room as well, or null
 * @param allowed the workers that may be used, among the usable ones
 */
record PlacementQuery(
    int tasks,
    Adjacency adjacency,
    CapacityIndex index,
    ResourceVector perTask,
    @Nullable Limit limit,
    IntPredicate allowed) {

  /**
   * A second index that must have room.
   *
   * @param index the amounts
   * @param perTask what each task takes of them
   */
  record Limit(CapacityIndex index, ResourceVector perTask) {}

  /** Asks for a shape from one index without further limits. */
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

  /** Returns the accelerators of one task. */
  int acceleratorsPerTask() {
    return perTask.accelerators();
  }
}
