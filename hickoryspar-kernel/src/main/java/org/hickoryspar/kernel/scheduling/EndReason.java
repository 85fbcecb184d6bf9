package org.hickoryspar.kernel.scheduling;

/** The reason for which a gang released its resources. */
public enum EndReason {
  /** All tasks succeeded. */
  COMPLETED,
  /** A task failed; counts against its worker and its job. */
  TASK_FAILED,
  /**
   * A worker was lost, a step was refused or failed, or the data centre was taken out of service;
   * the job is queued again.
   */
  UNDONE,
  /** The gang was preempted; the job is queued again. */
  PREEMPTED,
  /** The job was cancelled by its team. */
  CANCELLED
}
