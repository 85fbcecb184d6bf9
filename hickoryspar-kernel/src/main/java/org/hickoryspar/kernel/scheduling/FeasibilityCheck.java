package org.hickoryspar.kernel.scheduling;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Checks whether a job fits in the quota of its team and in the known workers when idle. */
final class FeasibilityCheck {

  private final ClusterState state;
  private final Map<GangShape, Integer> maxTasksByShape = new HashMap<>();

  FeasibilityCheck(ClusterState state) {
    this.state = state;
  }

  /** Discards cached results after a change of the known workers. */
  void invalidate() {
    maxTasksByShape.clear();
  }

  /** Returns why a job can never be placed, or null if it can. */
  @Nullable String rejectionReason(JobRequest job) {
    GangShape shape = job.shape();
    TeamPolicy policy = state.team(job.team()).policy();
    ResourceVector total = shape.perTask().times(shape.tasks());
    if (policy != null && !total.fitsIn(policy.quota())) {
      return "Job "
          + job.jobId()
          + " needs "
          + Descriptions.resources(total)
          + ", more than the quota of team "
          + job.team()
          + ", which is "
          + Descriptions.resources(policy.quota())
          + ".";
    }
    if (state.fleet().totalCapacity().equals(ResourceVector.NONE)) {
      return null;
    }
    int maxTasks = maxTasksByShape.computeIfAbsent(shape, this::maxTasks);
    return maxTasks >= shape.tasks()
        ? null
        : "Job "
            + job.jobId()
            + " needs "
            + Descriptions.shape(shape)
            + "; at most "
            + maxTasks
            + " such tasks fit even when all known workers are empty.";
  }

  private int maxTasks(GangShape shape) {
    Fleet fleet = state.fleet();
    int maxTasks = 0;
    for (int rack = 0; rack < fleet.rackCount(); rack++) {
      int rackTasks = 0;
      for (int worker : fleet.workersOfRack(rack)) {
        WorkerState workerState = fleet.state(worker);
        int tasks = workerState == null ? 0 : countFitting(workerState.capacity(), shape);
        rackTasks =
            shape.adjacency() == Adjacency.WORKER ? Math.max(rackTasks, tasks) : rackTasks + tasks;
      }
      maxTasks =
          shape.adjacency() == Adjacency.NONE
              ? maxTasks + rackTasks
              : Math.max(maxTasks, rackTasks);
    }
    return maxTasks;
  }

  private static int countFitting(ResourceVector capacity, GangShape shape) {
    ResourceVector perTask = shape.perTask();
    int tasks = shape.tasks();
    if (perTask.cores() > 0) {
      tasks = Math.min(tasks, capacity.cores() / perTask.cores());
    }
    if (perTask.memoryMegabytes() > 0) {
      tasks = Math.min(tasks, capacity.memoryMegabytes() / perTask.memoryMegabytes());
    }
    if (perTask.accelerators() > 0) {
      tasks = Math.min(tasks, capacity.accelerators() / perTask.accelerators());
    }
    return tasks;
  }
}
