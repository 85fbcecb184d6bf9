package org.hickoryspar.bench;

import java.util.List;
import org.hickoryspar.kernel.scheduling.SchedulingConfig;
import org.hickoryspar.kernel.scheduling.WorkerState;

/**
 * Everything that happens to a scheduler in one run, except its own decisions.
 *
 * @param deployment name of the deployment
 * @param seed seed that gives this workload again
 * @param workers the fleet
 * @param config configuration in force at the start; the placement policy is set per run
 * @param jobs all jobs in order of submission
 * @param incidents all incidents in order of time
 * @param submissionEndMillis end of the submission period, which is the measured period
 * @param endMillis end of the run; work that has not ended by then counts as unfinished
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

  /** Copies the lists. */
  public Workload {
    workers = List.copyOf(workers);
    jobs = List.copyOf(jobs);
    incidents = List.copyOf(incidents);
  }
}
