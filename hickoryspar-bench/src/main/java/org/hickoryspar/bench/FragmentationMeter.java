package org.hickoryspar.bench;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.hickoryspar.kernel.scheduling.Adjacency;
import org.hickoryspar.kernel.scheduling.GangShape;

/** Measures the share of free accelerators that no waiting large shape can use. */
final class FragmentationMeter {

  /** Minimum number of accelerators of a large job, equal to those of a worker. */
  static final int LARGE_ACCELERATORS = 8;

  private final SimulatedFleet fleet;
  private final DecisionChecker checker;

  FragmentationMeter(SimulatedFleet fleet, DecisionChecker checker) {
    this.fleet = fleet;
    this.checker = checker;
  }

  /** Returns the distinct shapes of large waiting jobs that can be placed and are within quota. */
  Set<GangShape> waitingLargeShapes(Collection<JobState> waiting) {
    Set<GangShape> shapes = new HashSet<>();
    for (JobState job : waiting) {
      if (job.model().behaviour() != JobModel.Behaviour.NEVER_FITS
          && Packer.totalAccelerators(job.request().shape()) >= LARGE_ACCELERATORS
          && !checker.exceedsQuota(job.request(), 0)) {
        shapes.add(job.request().shape());
      }
    }
    return shapes;
  }

  /**
   * Returns the share from 0 to 1 of free accelerators that no shape can use; 0 if none is free.
   */
  double unusableShare(Set<GangShape> shapes) {
    ResourceTable free = fleet.freeOnUsableWorkers();
    long freeAccelerators = 0;
    long usableAccelerators = 0;
    for (int[] rack : fleet.racks()) {
      int rackFreeAccelerators = 0;
      for (int worker : rack) {
        rackFreeAccelerators += free.accelerators(worker);
      }
      int rackUsableAccelerators = 0;
      for (GangShape shape : shapes) {
        rackUsableAccelerators =
            Math.max(rackUsableAccelerators, usableAcceleratorsInRack(free, rack, shape));
      }
      freeAccelerators += rackFreeAccelerators;
      usableAccelerators += rackUsableAccelerators;
    }
    return freeAccelerators == 0 ? 0 : 1 - usableAccelerators / (double) freeAccelerators;
  }

  /** Returns the number of free accelerators on usable workers. */
  int freeAccelerators() {
    ResourceTable free = fleet.freeOnUsableWorkers();
    int total = 0;
    for (int i = 0; i < free.size(); i++) {
      total += free.accelerators(i);
    }
    return total;
  }

  private int usableAcceleratorsInRack(ResourceTable free, int[] rack, GangShape shape) {
    int tasks = 0;
    for (int worker : rack) {
      int fittingTasks = free.countFitting(worker, shape.perTask(), Integer.MAX_VALUE);
      tasks +=
          shape.adjacency() == Adjacency.WORKER
              ? fittingTasks / shape.tasks() * shape.tasks()
              : fittingTasks;
    }
    int usableTasks =
        switch (shape.adjacency()) {
          case WORKER -> tasks;
          case RACK -> tasks / shape.tasks() * shape.tasks();
          case NONE -> fitsInFleet(free, shape) ? tasks : 0;
        };
    return usableTasks * shape.perTask().accelerators();
  }

  private boolean fitsInFleet(ResourceTable free, GangShape shape) {
    int tasks = 0;
    for (int i = 0; i < free.size() && tasks < shape.tasks(); i++) {
      tasks += free.countFitting(i, shape.perTask(), shape.tasks());
    }
    return tasks >= shape.tasks();
  }
}
