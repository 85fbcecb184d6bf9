package org.hickoryspar.kernel.scheduling;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * A gang that holds resources: being prepared, started, running or undone.
 *
 * @param job the job
 * @param workers the worker of each task, in task order
 * @param startedMillis replicated time at which the gang got its resources
 * @param checkpointMillis time of the last checkpoint; equal to {@code startedMillis} without one
 * @param stopping true while the gang is being stopped; its resources are not free yet
 */
public record RunningGang(
    JobRequest job,
    List<String> workers,
    long startedMillis,
    long checkpointMillis,
    boolean stopping) {

  /**
   * Checks the components.
   *
   * @throws IllegalArgumentException if the number of workers is not the number of tasks
   */
  public RunningGang {
    requireNonNull(job, "job is null");
    workers = List.copyOf(workers);
    if (workers.size() != job.shape().tasks()) {
      throw new IllegalArgumentException(
          "job "
              + job.jobId()
              + " has "
              + job.shape().tasks()
              + " tasks, placed "
              + workers.size());
    }
  }
}
