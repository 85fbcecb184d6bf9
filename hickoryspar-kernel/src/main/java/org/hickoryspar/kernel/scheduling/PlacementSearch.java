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
  List<int[]> find(PlacementQuery demand, int limit) {
    List<int[]> found = new ArrayList<>();
    switch (demand.adjacency()) {
      case WORKER -> findOnWorkers(demand, limit, found);
      case RACK -> findInRacks(demand, limit, found);
      default -> findAnywhere(demand, limit, found);
    }
    return found;
  }

  private void findOnWorkers(PlacementQuery demand, int limit, List<int[]> found) {
    demand
        .index()
        .visitWorkers(
            demand.acceleratorsPerTask() * demand.tasks(),
            worker -> {
              if (demand.count(worker) >= demand.tasks()) {
                int[] workers = new int[demand.tasks()];
                Arrays.fill(workers, worker);
                found.add(workers);
              }
              return found.size() < limit;
            });
  }

  private void findInRacks(PlacementQuery demand, int limit, List<int[]> found) {
    demand
        .index()
        .visitRacks(
            demand.acceleratorsPerTask() * demand.tasks(),
            rack -> {
              int[] workers = fill(demand, fleet.membersOfRack(rack));
              if (workers.length == demand.tasks()) {
                found.add(workers);
              }
              return found.size() < limit;
            });
  }

  private void findAnywhere(PlacementQuery demand, int limit, List<int[]> found) {
    if (demand.tasks() == 1) {
      findOnWorkers(demand, limit, found);
      return;
    }
    if (limit > 1) {
      findInRacks(demand, limit / 2, found);
    }
    PlacementBuilder tight = new PlacementBuilder(demand);
    demand.index().visitWorkers(demand.acceleratorsPerTask(), tight::add);
    if (tight.isFull()) {
      found.add(tight.workers());
    }
    if (limit > 1 && tight.isFull()) {
      PlacementBuilder wide = new PlacementBuilder(demand);
      demand.index().visitWorkersDescending(demand.acceleratorsPerTask(), wide::add);
      found.add(wide.workers());
    }
  }

  /** Fills the members of a rack, those with the least room first, and keeps the task order. */
  private int[] fill(PlacementQuery demand, int[] members) {
    int[] counts = new int[members.length];
    int sum = 0;
    for (int i = 0; i < members.length; i++) {
      counts[i] = demand.count(members[i]);
      sum += counts[i];
    }
    if (sum < demand.tasks()) {
      return new int[0];
    }
    PlacementBuilder filler = new PlacementBuilder(demand);
    // One worker that takes all tasks with the least room left is better than several.
    int single = -1;
    for (int i = 0; i < members.length; i++) {
      if (counts[i] >= demand.tasks()
          && (single < 0 || room(demand, members[i]) < room(demand, members[single]))) {
        single = i;
      }
    }
    if (single >= 0) {
      filler.add(members[single]);
      return filler.workers();
    }
    Integer[] order = new Integer[members.length];
    Arrays.setAll(order, i -> i);
    Arrays.sort(order, (a, b) -> Integer.compare(counts[b], counts[a]));
    for (int position : order) {
      if (!filler.add(members[position])) {
        break;
      }
    }
    return filler.workers();
  }

  private int room(PlacementQuery demand, int worker) {
    return demand.index().accelerators(worker);
  }

  private static final class PlacementBuilder {

    private final PlacementQuery demand;
    private final int[] workers;
    private int filled;

    PlacementBuilder(PlacementQuery demand) {
      this.demand = demand;
      this.workers = new int[demand.tasks()];
    }

    /** Places tasks on a worker; returns false once all are placed. */
    boolean add(int worker) {
      int count = Math.min(demand.count(worker), workers.length - filled);
      Arrays.fill(workers, filled, filled + count, worker);
      filled += count;
      return !isFull();
    }

    boolean isFull() {
      return filled == workers.length;
    }

    int[] workers() {
      return workers;
    }
  }
}
