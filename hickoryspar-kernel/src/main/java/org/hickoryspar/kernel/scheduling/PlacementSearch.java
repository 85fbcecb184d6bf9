package org.hickoryspar.kernel.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Finds placements for gangs, those that leave the least unused first.
 *
 * <p>The number of candidates is bounded, so the cost of a search depends on the gang and not on
 * the number of workers, as long as the first workers with enough accelerators fit.
 */
final class PlacementSearch {

  private final Fleet fleet;

  PlacementSearch(Fleet fleet) {
    this.fleet = fleet;
  }

  /** Returns up to {@code limit} placements; each lists the worker of each task in task order. */
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

  /** Fills the members of a rack, those with the least room first, and keeps the task order. */
  private int[] fillRack(PlacementQuery query, int[] members) {
    int[] counts = new int[members.length];
    int total = 0;
    for (int i = 0; i < members.length; i++) {
      counts[i] = query.countFitting(members[i]);
      total += counts[i];
    }
    if (total < query.tasks()) {
      return new int[0];
    }
    PlacementBuilder builder = new PlacementBuilder(query);
    // One worker that takes all tasks with the least room left is better than several.
    int single = -1;
    for (int i = 0; i < members.length; i++) {
      if (counts[i] >= query.tasks()
          && (single < 0
              || accelerators(query, members[i]) < accelerators(query, members[single]))) {
        single = i;
      }
    }
    if (single >= 0) {
      builder.addTasksOn(members[single]);
      return builder.workers();
    }
    Integer[] order = new Integer[members.length];
    Arrays.setAll(order, i -> i);
    Arrays.sort(order, (a, b) -> Integer.compare(counts[b], counts[a]));
    for (int position : order) {
      if (!builder.addTasksOn(members[position])) {
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
    private int assigned;

    PlacementBuilder(PlacementQuery query) {
      this.query = query;
      this.workers = new int[query.tasks()];
    }

    /** Places tasks on a worker; returns false once all are placed. */
    boolean addTasksOn(int worker) {
      int count = Math.min(query.countFitting(worker), workers.length - assigned);
      Arrays.fill(workers, assigned, assigned + count, worker);
      assigned += count;
      return !isComplete();
    }

    boolean isComplete() {
      return assigned == workers.length;
    }

    int[] workers() {
      return workers;
    }
  }
}
