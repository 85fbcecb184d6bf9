package org.hickoryspar.bench;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.hickoryspar.kernel.scheduling.Adjacency;
import org.hickoryspar.kernel.scheduling.GangShape;

/** Measures the share of free accelerators that no waiting large shape can use. */
final class FragmentationMeter {

  /** A job is large when it needs at least as many accelerators as one worker has. */
  static final int LARGE_ACCELERATORS = 8;

  private final SimulatedFleet occupancy;
  private final DecisionChecker checker;

  FragmentationMeter(SimulatedFleet occupancy, DecisionChecker checker) {
    this.occupancy = occupancy;
    this.checker = checker;
  }

  /** Returns the distinct shapes of waiting large jobs that could run and are within quota. */
  Set<GangShape> waitingLargeShapes(Collection<JobState> waiting) {
    Set<GangShape> shapes = new HashSet<>();
    for (JobState job : waiting) {
      if (job.plan().fate() != JobModel.Behaviour.NEVER_FITS
          && Packer.accelerators(job.request().shape()) >= LARGE_ACCELERATORS
          && !checker.exceedsQuota(job.request(), 0)) {
        shapes.add(job.request().shape());
      }
    }
    return shapes;
  }

  /** Returns the share, from 0 to 1; 0 when nothing is free. */
  double share(Set<GangShape> shapes) {
    ResourceTable free = occupancy.usableFree();
    long total = 0;
    long usable = 0;
    for (int[] rack : occupancy.racks()) {
      int rackFree = 0;
      for (int worker : rack) {
        rackFree += free.accelerators(worker);
      }
      int rackUsable = 0;
      for (GangShape shape : shapes) {
        rackUsable = Math.max(rackUsable, usableInRack(free, rack, shape));
      }
      total += rackFree;
      usable += rackUsable;
    }
    return total == 0 ? 0 : 1 - usable / (double) total;
  }

  /** Returns the number of free accelerators on workers on which tasks may start. */
  int freeAccelerators() {
    ResourceTable free = occupancy.usableFree();
    int total = 0;
    for (int i = 0; i < free.size(); i++) {
      total += free.accelerators(i);
    }
    return total;
  }

  private int usableInRack(ResourceTable free, int[] rack, GangShape shape) {
    int tasks = 0;
    for (int worker : rack) {
      int fitting = free.fitting(worker, shape.perTask(), Integer.MAX_VALUE);
      tasks +=
          shape.adjacency() == Adjacency.WORKER ? fitting / shape.tasks() * shape.tasks() : fitting;
    }
    int usableTasks =
        switch (shape.adjacency()) {
          case WORKER -> tasks;
          case RACK -> tasks / shape.tasks() * shape.tasks();
          case NONE -> fitsAnywhere(free, shape) ? tasks : 0;
        };
    return usableTasks * shape.perTask().accelerators();
  }

  private boolean fitsAnywhere(ResourceTable free, GangShape shape) {
    int tasks = 0;
    for (int i = 0; i < free.size() && tasks < shape.tasks(); i++) {
      tasks += free.fitting(i, shape.perTask(), shape.tasks());
    }
    return tasks >= shape.tasks();
  }
}
