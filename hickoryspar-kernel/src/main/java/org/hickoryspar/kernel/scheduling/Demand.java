package org.hickoryspar.kernel.scheduling;

import java.util.function.IntPredicate;
import org.jspecify.annotations.Nullable;

/**
 * What a search for a placement must respect.
 *
 * @param tasks number of tasks
 * @param adjacency how close together the tasks must be
 * @param free what each task takes of the free capacity; null to ignore what is held
 * @param reclaimable what each task takes of the reclaimable capacity; null to ignore guarantees
 * @param allowed the workers that may be used, among the usable ones
 */
record Demand(
    int tasks,
    Adjacency adjacency,
    @Nullable ResourceShape free,
    @Nullable ResourceShape reclaimable,
    IntPredicate allowed) {

  /** Returns how many tasks fit on a worker. */
  int count(Fleet fleet, int worker) {
    int most = tasks;
    if (free != null) {
      most = Math.min(most, fleet.free().count(worker, free));
    }
    if (reclaimable != null && most > 0) {
      most = Math.min(most, fleet.reclaimable().count(worker, reclaimable));
    }
    return most > 0 && allowed.test(worker) ? most : 0;
  }

  /** Returns the index by which candidates are visited. */
  CapacityIndex index(Fleet fleet) {
    return free == null ? fleet.reclaimable() : fleet.free();
  }

  /** Returns the accelerators of one task. */
  int acceleratorsPerTask() {
    ResourceShape perTask = free == null ? reclaimable : free;
    return perTask == null ? 0 : perTask.accelerators();
  }
}
