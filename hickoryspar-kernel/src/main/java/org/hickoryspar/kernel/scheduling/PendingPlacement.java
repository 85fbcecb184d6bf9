package org.hickoryspar.kernel.scheduling;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** A placement whose resources are reserved for a job until its victims have ended. */
final class PendingPlacement {

  private final JobRequest job;
  private final int[] workers;
  private final @Nullable GuaranteeState guarantee;
  private final List<String> victimJobIds;

  PendingPlacement(
      JobRequest job,
      int[] workers,
      @Nullable GuaranteeState guarantee,
      List<String> victimJobIds) {
    this.job = job;
    this.workers = workers;
    this.guarantee = guarantee;
    this.victimJobIds = victimJobIds;
  }

  JobRequest job() {
    return job;
  }

  int[] workers() {
    return workers;
  }

  @Nullable GuaranteeState guarantee() {
    return guarantee;
  }

  /** Returns the identifiers of the jobs that were preempted for this placement. */
  List<String> victimJobIds() {
    return victimJobIds;
  }

  ResourceVector total() {
    return job.shape().perTask().times(workers.length);
  }

  /** Returns whether the resources are subtracted from the uncommitted capacity. */
  boolean isCommitted() {
    return guarantee == null && !job.preemptible();
  }

  int tasksOn(int worker) {
    int tasks = 0;
    for (int assigned : workers) {
      tasks += assigned == worker ? 1 : 0;
    }
    return tasks;
  }
}
