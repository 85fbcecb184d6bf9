package org.hickoryspar.kernel.scheduling;

import java.util.Arrays;
import java.util.List;

/** A candidate whose measures are computed on request from the capacity indexes of a fleet. */
final class IndexedCandidate implements PlacementCandidate {

  /** Weight of parts of shapes; orders placements that break up equally many whole shapes. */
  private static final double PARTIAL_SHAPE_WEIGHT = 0.1;

  private final Fleet fleet;
  private final GangShape shape;
  private final int[] workers;
  private final int[] distinctWorkers;
  private final int[] distinctRacks;
  private final List<GangShape> trackedShapes;

  IndexedCandidate(Fleet fleet, GangShape shape, int[] workers, List<GangShape> trackedShapes) {
    this.fleet = fleet;
    this.shape = shape;
    this.workers = workers;
    this.trackedShapes = trackedShapes;
    this.distinctWorkers = Arrays.stream(workers).distinct().toArray();
    this.distinctRacks = Arrays.stream(distinctWorkers).map(fleet::rackOf).distinct().toArray();
  }

  @Override
  public GangShape shape() {
    return shape;
  }

  @Override
  public int distinctWorkers() {
    return distinctWorkers.length;
  }

  @Override
  public int distinctRacks() {
    return distinctRacks.length;
  }

  @Override
  public int acceleratorsPlannedForGuarantees() {
    int planned = 0;
    for (int worker : distinctWorkers) {
      int required = tasksOn(worker) * shape.perTask().accelerators();
      planned += Math.max(0, required - Math.max(0, fleet.uncommitted().accelerators(worker)));
    }
    return planned;
  }

  @Override
  public int remainingAccelerators() {
    int remaining = 0;
    for (int worker : distinctWorkers) {
      remaining +=
          fleet.free().accelerators(worker) - tasksOn(worker) * shape.perTask().accelerators();
    }
    return remaining;
  }

  @Override
  public double lostShapeAccelerators() {
    double before = formableAccelerators();
    for (int worker : workers) {
      fleet.free().subtract(worker, shape.perTask(), 1);
    }
    double after = formableAccelerators();
    for (int worker : workers) {
      fleet.free().add(worker, shape.perTask(), 1);
    }
    return before - after;
  }

  private double formableAccelerators() {
    double sum = 0;
    for (GangShape trackedShape : trackedShapes) {
      double weight = trackedShape.tasks() * trackedShape.perTask().accelerators();
      if (trackedShape.adjacency() == Adjacency.RACK) {
        for (int rack : distinctRacks) {
          sum += weight * countShapes(fleet.workersOfRack(rack), trackedShape);
        }
      } else {
        for (int worker : distinctWorkers) {
          sum += weight * countShapes(new int[] {worker}, trackedShape);
        }
      }
    }
    return sum;
  }

  private double countShapes(int[] members, GangShape trackedShape) {
    double tasks = 0;
    for (int worker : members) {
      tasks += fleet.free().countFitting(worker, trackedShape.perTask());
    }
    double fractionalCount = tasks / trackedShape.tasks();
    return trackedShape.adjacency() == Adjacency.NONE
        ? fractionalCount
        : (1 - PARTIAL_SHAPE_WEIGHT) * Math.floor(fractionalCount)
            + PARTIAL_SHAPE_WEIGHT * fractionalCount;
  }

  private int tasksOn(int worker) {
    int tasks = 0;
    for (int assigned : workers) {
      tasks += assigned == worker ? 1 : 0;
    }
    return tasks;
  }
}
