package org.hickoryspar.kernel.scheduling;

import org.jspecify.annotations.Nullable;

/** A gang that holds resources. */
final class Gang {

  private final JobRequest job;
  private final int[] workers;
  private final long startedMillis;
  private long checkpointMillis;
  private boolean stopping;
  private @Nullable GuaranteeState slot;

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

  void checkpointed(long nowMillis) {
    checkpointMillis = Math.max(checkpointMillis, nowMillis);
  }

  boolean isStopping() {
    return stopping;
  }

  void stop() {
    stopping = true;
  }

  /** Returns the guarantee that the gang uses, or null when it runs on capacity left over. */
  @Nullable GuaranteeState slot() {
    return slot;
  }

  void setSlot(@Nullable GuaranteeState slot) {
    this.slot = slot;
  }

  /** Returns whether the gang's resources count as taken when guarantees are planned. */
  boolean isFixed() {
    return slot == null && !job.preemptible();
  }

  /** Returns whether the gang's resources can be had by preemption, or will be free soon. */
  boolean isReclaimable() {
    return slot == null && job.preemptible();
  }

  /** Returns whether the gang may be preempted for another job. */
  boolean isVictim() {
    return isReclaimable() && !stopping;
  }

  /** Returns the gang as policies see it. */
  RunningGang asRunning(Fleet fleet) {
    return new RunningGang(job, fleet.names(workers), startedMillis, checkpointMillis, stopping);
  }
}
