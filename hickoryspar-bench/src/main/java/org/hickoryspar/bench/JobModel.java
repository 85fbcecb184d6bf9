package org.hickoryspar.bench;

import org.hickoryspar.kernel.scheduling.JobRequest;

/**
 * A generated job with the facts that the scheduler does not know.
 *
 * @param request what the scheduler is told
 * @param runMillis true run time without interruption
 * @param usageRatio true use divided by the declared size; above 1.2 the platform throttles
 * @param behaviour what happens when the job runs
 * @param warmUp whether the job only fills the fleet before the measured period
 */
public record JobModel(
    JobRequest request, long runMillis, double usageRatio, Behaviour behaviour, boolean warmUp) {

  /** What happens when a job runs. */
  public enum Behaviour {
    /** Completes unless its workers fail. */
    HEALTHY,
    /** Fails on every worker. */
    FAILS_EVERYWHERE,
    /** Fits on no worker, rack, fleet or quota. */
    NEVER_FITS
  }
}
