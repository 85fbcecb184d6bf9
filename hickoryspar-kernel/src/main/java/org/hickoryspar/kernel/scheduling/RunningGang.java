package org.hickoryspar.kernel.scheduling;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * A gang that holds resources, from the preparation of its tasks until they have stopped.
 *
 * @param job the job
 * @param workers the worker of each task, in task order
 * @param startedMillis replicated time at which the resources were allocated
 * @param checkpointMillis replicated time of the last checkpoint; {@code startedMillis} without one
 * @param stopping whether the gang is being stopped; it holds its resources until it has ended
 */
public record RunningGang(
    JobRequest job,
    List<String> workers,
    long startedMillis,
    long checkpointMillis,
    boolean stopping) {

  /**
   * Copies the list of workers.
   *
   * @throws NullPointerException if a component or a worker is null
   * @throws IllegalArgumentException if the number of workers differs from the number of tasks
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
              + " tasks, number of workers: "
              + workers.size());
    }
  }
}
