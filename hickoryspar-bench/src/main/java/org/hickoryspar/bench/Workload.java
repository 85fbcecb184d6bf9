package org.hickoryspar.bench;

import java.util.List;
import org.hickoryspar.kernel.scheduling.SchedulingConfig;
import org.hickoryspar.kernel.scheduling.WorkerState;

/**
 * The input of a simulation: the fleet, its configuration, the jobs and the incidents. Times are in
 * milliseconds from the start of the run.
 *
 * @param deployment name of the deployment
 * @param seed seed that reproduces the workload
 * @param workers the fleet
 * @param config configuration at the start; each run replaces its placement policy
 * @param jobs all jobs in order of submission
 * @param incidents all incidents in order of time
 * @param submissionEndMillis end of the submission period, which is the measured period
 * @param endMillis end of the run; jobs that have not ended by then count as unfinished
 */
public record Workload(
    String deployment,
    long seed,
    List<WorkerState> workers,
    SchedulingConfig config,
    List<JobModel> jobs,
    List<Incident> incidents,
    long submissionEndMillis,
    long endMillis) {

  /** Copies the lists, which must not contain null. */
  public Workload {
    workers = List.copyOf(workers);
    jobs = List.copyOf(jobs);
    incidents = List.copyOf(incidents);
  }
}
