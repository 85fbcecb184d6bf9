package org.hickoryspar.kernel.scheduling;

import java.util.Arrays;
import java.util.List;

/** A placement with the figures that policies weigh, computed from the indexes on request. */
final class IndexedCandidate implements PlacementCandidate {

  /** Weight of a part of a shape, so that among equals the less useful remainder is used. */
  private static final double PART = 0.1;

  private final Fleet fleet;
  private final GangShape shape;
  private final int[] workers;
  private final int[] distinct;
  private final int[] racks;
  private final List<GangShape> tracked;

  IndexedCandidate(Fleet fleet, GangShape shape, int[] workers, List<GangShape> tracked) {
    this.fleet = fleet;
    this.shape = shape;
    this.workers = workers;
    this.tracked = tracked;
    this.distinct = Arrays.stream(workers).distinct().toArray();
    this.racks = Arrays.stream(distinct).map(fleet::rackOf).distinct().toArray();
  }

  @Override
  public GangShape shape() {
    return shape;
  }

  @Override
  public int distinctWorkers() {
    return distinct.length;
  }

  @Override
  public int distinctRacks() {
    return racks.length;
  }

  @Override
  public int plannedAccelerators() {
    int planned = 0;
    for (int worker : distinct) {
      int need = tasksOn(worker) * shape.perTask().accelerators();
      planned += Math.max(0, need - Math.max(0, fleet.reclaimable().accelerators(worker)));
    }
    return planned;
  }

  @Override
  public int leftAccelerators() {
    int left = 0;
    for (int worker : distinct) {
      left += fleet.free().accelerators(worker) - tasksOn(worker) * shape.perTask().accelerators();
    }
    return left;
  }

  @Override
  public double lostShapes() {
    double before = formable();
    for (int worker : workers) {
      fleet.free().take(worker, shape.perTask(), 1);
    }
    double after = formable();
    for (int worker : workers) {
      fleet.free().add(worker, shape.perTask(), 1);
    }
    return before - after;
  }

  private double formable() {
    double sum = 0;
    for (GangShape wanted : tracked) {
      double weight = wanted.tasks() * wanted.perTask().accelerators();
      if (wanted.adjacency() == Adjacency.RACK) {
        for (int rack : racks) {
          sum += weight * shapes(fleet.membersOfRack(rack), wanted);
        }
      } else {
        for (int worker : distinct) {
          sum += weight * shapes(new int[] {worker}, wanted);
        }
      }
    }
    return sum;
  }

  private double shapes(int[] members, GangShape wanted) {
    double tasks = 0;
    for (int worker : members) {
      tasks += fleet.free().count(worker, wanted.perTask());
    }
    double exact = tasks / wanted.tasks();
    return wanted.adjacency() == Adjacency.NONE
        ? exact
        : (1 - PART) * Math.floor(exact) + PART * exact;
  }

  private int tasksOn(int worker) {
    int tasks = 0;
    for (int used : workers) {
      tasks += used == worker ? 1 : 0;
    }
    return tasks;
  }
}
