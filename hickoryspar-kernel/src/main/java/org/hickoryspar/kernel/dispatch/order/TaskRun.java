package org.hickoryspar.kernel.dispatch.order;

import static java.util.Objects.requireNonNull;

/**
 * Identifies one run of one task.
 *
 * @param workflowId the workflow
 * @param occurrence number of the occurrence, from 0
 * @param step index of the step, from 0
 * @param task index of the task within the step, from 0
 * @param run number of the run, from 1
 */
public record TaskRun(String workflowId, int occurrence, int step, int task, int run) {

  /** Rejects a null workflow identifier with a {@link NullPointerException}. */
  public TaskRun {
    requireNonNull(workflowId, "workflowId is null");
  }

  @Override
  public String toString() {
    return workflowId + '.' + occurrence + '.' + step + '.' + task + '#' + run;
  }
}
