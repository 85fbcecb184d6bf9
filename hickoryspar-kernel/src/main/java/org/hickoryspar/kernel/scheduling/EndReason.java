package org.hickoryspar.kernel.scheduling;

/** Why a gang released its resources. */
public enum EndReason {
  /** All tasks finished. */
  COMPLETED,
  /** A task failed by itself; counts against its worker and its job. */
  TASK_FAILED,
  /** A worker was lost, a start failed or the platform refused; the job is queued again. */
  UNDONE,
  /** The gang was preempted; the job is queued again. */
  PREEMPTED,
  /** The job was cancelled by its team. */
  CANCELLED
}
