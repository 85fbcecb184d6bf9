package org.hickoryspar.kernel.scheduling;

import org.jspecify.annotations.Nullable;

/** The mutable state of a gang that holds resources. */
final class Gang {

  private final JobRequest job;
  private final int[] workers;
  private final long startedMillis;
  private long checkpointMillis;
  private boolean stopping;
  private @Nullable GuaranteeState guarantee;

  Gang(JobRequest job, int[] workers, long startedMillis, long checkpointMillis) {
    this.job = job;
    this.workers = workers;
    this.startedMillis = startedMillis;
    this.checkpointMillis = checkpointMillis;
  }

  JobRequest job() {
    return job;
  }

  int[] workers() {
    return workers;
  }

  ResourceVector perTask() {
    return job.shape().perTask();
  }

  long startedMillis() {
    return startedMillis;
  }

  long checkpointMillis() {
    return checkpointMillis;
  }

  void recordCheckpoint(long nowMillis) {
    checkpointMillis = Math.max(checkpointMillis, nowMillis);
  }

  boolean isStopping() {
    return stopping;
  }

  void markStopping() {
    stopping = true;
  }

  /** Returns the guarantee that the gang uses, or null. */
  @Nullable GuaranteeState guarantee() {
    return guarantee;
  }

  void setGuarantee(@Nullable GuaranteeState guarantee) {
    this.guarantee = guarantee;
  }

  /** Returns whether the resources are subtracted from the uncommitted capacity. */
  boolean isCommitted() {
    return guarantee == null && !job.preemptible();
  }

  /** Returns whether the resources count as free after preemption, even if already stopping. */
  boolean isPreemptible() {
    return guarantee == null && job.preemptible();
  }

  /** Returns whether the gang may be preempted for another job and is not stopping yet. */
  boolean isPreemptionCandidate() {
    return isPreemptible() && !stopping;
  }

  /** Returns an immutable view for preemption policies. */
  RunningGang toRunningGang(Fleet fleet) {
    return new RunningGang(
        job, fleet.workerIds(workers), startedMillis, checkpointMillis, stopping);
  }
}
