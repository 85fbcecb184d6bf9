package org.hickoryspar.bench;

import org.hickoryspar.kernel.scheduling.JobRequest;

/**
 * A generated job: its request, and the properties that are hidden from the scheduler.
 *
 * @param request the job as submitted to the scheduler
 * @param runMillis true run time without interruption or throttling
 * @param usageRatio actual resource use divided by the declared size; above 1.2 the platform
 *     throttles the job
 * @param behaviour whether the job can be placed and its runs succeed
 * @param warmUp whether the job only fills the fleet before the measured period
 */
public record JobModel(
    JobRequest request, long runMillis, double usageRatio, Behaviour behaviour, boolean warmUp) {

  /** Whether a job can be placed and whether its runs succeed. */
  public enum Behaviour {
    /** Completes unless a worker fails. */
    HEALTHY,
    /** Fails on every worker. */
    FAILS_EVERYWHERE,
    /** Cannot be placed, because it exceeds every worker, every rack, the fleet or the quota. */
    NEVER_FITS
  }
}
