package org.hickoryspar.kernel.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Finds placements for gangs, best fit first.
 *
 * <p>Bounding the number of placements keeps the cost of a search independent of the number of
 * workers, provided that the first workers with enough accelerators have enough of the other
 * resources.
 */
final class PlacementSearch {

  private final Fleet fleet;

  PlacementSearch(Fleet fleet) {
    this.fleet = fleet;
  }

  /** Returns up to {@code limit} placements; each holds the worker of each task in task order. */
  List<int[]> find(PlacementQuery query, int limit) {
    List<int[]> placements = new ArrayList<>();
    switch (query.adjacency()) {
      case WORKER -> findOnSingleWorkers(query, limit, placements);
      case RACK -> findInRacks(query, limit, placements);
      default -> findAnywhere(query, limit, placements);
    }
    return placements;
  }

  private void findOnSingleWorkers(PlacementQuery query, int limit, List<int[]> placements) {
    query
        .index()
        .visitWorkers(
            query.acceleratorsPerTask() * query.tasks(),
            worker -> {
              if (query.countFitting(worker) >= query.tasks()) {
                int[] workers = new int[query.tasks()];
                Arrays.fill(workers, worker);
                placements.add(workers);
              }
              return placements.size() < limit;
            });
  }

  private void findInRacks(PlacementQuery query, int limit, List<int[]> placements) {
    query
        .index()
        .visitRacks(
            query.acceleratorsPerTask() * query.tasks(),
            rack -> {
              int[] workers = fillRack(query, fleet.workersOfRack(rack));
              if (workers.length == query.tasks()) {
                placements.add(workers);
              }
              return placements.size() < limit;
            });
  }

  private void findAnywhere(PlacementQuery query, int limit, List<int[]> placements) {
    if (query.tasks() == 1) {
      findOnSingleWorkers(query, limit, placements);
      return;
    }
    if (limit > 1) {
      findInRacks(query, limit / 2, placements);
    }
    PlacementBuilder bestFit = new PlacementBuilder(query);
    query.index().visitWorkers(query.acceleratorsPerTask(), bestFit::addTasksOn);
    if (bestFit.isComplete()) {
      placements.add(bestFit.workers());
    }
    if (limit > 1 && bestFit.isComplete()) {
      PlacementBuilder worstFit = new PlacementBuilder(query);
      query.index().visitWorkersDescending(query.acceleratorsPerTask(), worstFit::addTasksOn);
      placements.add(worstFit.workers());
    }
  }

  /**
   * Places all tasks in a rack: on the worker with the fewest accelerators that holds all of them,
   * else on the workers that hold the most tasks.
   *
   * @return the worker of each task, or an empty array if the tasks do not fit
   */
  private int[] fillRack(PlacementQuery query, int[] workers) {
    int[] counts = new int[workers.length];
    int total = 0;
    for (int i = 0; i < workers.length; i++) {
      counts[i] = query.countFitting(workers[i]);
      total += counts[i];
    }
    if (total < query.tasks()) {
      return new int[0];
    }
    PlacementBuilder builder = new PlacementBuilder(query);
    // A single worker is preferred over several.
    int singleIndex = -1;
    for (int i = 0; i < workers.length; i++) {
      if (counts[i] >= query.tasks()
          && (singleIndex < 0
              || accelerators(query, workers[i]) < accelerators(query, workers[singleIndex]))) {
        singleIndex = i;
      }
    }
    if (singleIndex >= 0) {
      builder.addTasksOn(workers[singleIndex]);
      return builder.workers();
    }
    Integer[] order = new Integer[workers.length];
    Arrays.setAll(order, i -> i);
    Arrays.sort(order, (a, b) -> Integer.compare(counts[b], counts[a]));
    for (int index : order) {
      if (!builder.addTasksOn(workers[index])) {
        break;
      }
    }
    return builder.workers();
  }

  private int accelerators(PlacementQuery query, int worker) {
    return query.index().accelerators(worker);
  }

  private static final class PlacementBuilder {

    private final PlacementQuery query;
    private final int[] workers;
    private int assignedCount;

    PlacementBuilder(PlacementQuery query) {
      this.query = query;
      this.workers = new int[query.tasks()];
    }

    /** Assigns as many tasks to a worker as fit; returns false once all are assigned. */
    boolean addTasksOn(int worker) {
      int count = Math.min(query.countFitting(worker), workers.length - assignedCount);
      Arrays.fill(workers, assignedCount, assignedCount + count, worker);
      assignedCount += count;
      return !isComplete();
    }

    boolean isComplete() {
      return assignedCount == workers.length;
    }

    int[] workers() {
      return workers;
    }
  }
}
