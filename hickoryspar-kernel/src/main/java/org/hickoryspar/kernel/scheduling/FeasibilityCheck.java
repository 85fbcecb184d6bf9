package org.hickoryspar.kernel.scheduling;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Finds jobs that no known worker, rack or fleet could hold, even when it is empty. */
final class FeasibilityCheck {

  private final ClusterState state;
  private final Map<GangShape, Integer> mostTasks = new HashMap<>();

  FeasibilityCheck(ClusterState state) {
    this.state = state;
  }

  /** Forgets what was computed for the workers known before. */
  void workersChanged() {
    mostTasks.clear();
  }

  /** Returns why a job can never run, or null if it could. */
  @Nullable String problem(JobRequest job) {
    GangShape shape = job.shape();
    TeamPolicy policy = state.team(job.team()).policy();
    ResourceVector total = shape.perTask().times(shape.tasks());
    if (policy != null && !total.fitsIn(policy.quota())) {
      return "Job "
          + job.jobId()
          + " needs "
          + Descriptions.amount(total)
          + ", more than the quota of team "
          + job.team()
          + ", which is "
          + Descriptions.amount(policy.quota())
          + ".";
    }
    if (state.fleet().total().equals(ResourceVector.NONE)) {
      return null;
    }
    int most = mostTasks.computeIfAbsent(shape, this::count);
    return most >= shape.tasks()
        ? null
        : "Job "
            + job.jobId()
            + " needs "
            + Descriptions.shape(shape)
            + "; at most "
            + most
            + " such tasks fit even when all known workers are empty.";
  }

  private int count(GangShape shape) {
    Fleet fleet = state.fleet();
    int most = 0;
    for (int rack = 0; rack < fleet.racks(); rack++) {
      int sum = 0;
      for (int worker : fleet.membersOfRack(rack)) {
        WorkerState known = fleet.state(worker);
        int tasks = known == null ? 0 : tasksIn(known.capacity(), shape);
        sum = shape.adjacency() == Adjacency.WORKER ? Math.max(sum, tasks) : sum + tasks;
      }
      most = shape.adjacency() == Adjacency.NONE ? most + sum : Math.max(most, sum);
    }
    return most;
  }

  private static int tasksIn(ResourceVector capacity, GangShape shape) {
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
