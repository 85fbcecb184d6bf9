package org.hickoryspar.kernel.dispatch;

/** Kinds of events that a {@link DispatchListener} is told about. */
public enum DispatchEventKind {
  /** A group is placed; its start is proposed. */
  RUN_PLACED,
  /** A group has no room for a while. */
  GROUP_WAITS,
  /** The replicated state refused a start. */
  RUN_REFUSED,
  /** A minion rejected a start. */
  START_REJECTED,
  /** A run is to be stopped. */
  RUN_STOPPING,
  /** A run is stopped to make room for another one. */
  RUN_PREEMPTED,
  /** A minion listed the end of a task. */
  TASK_ENDED,
  /** All members of a gang have ended. */
  RUN_OVER,
  /** A task can no longer run where it was started. */
  TASK_LOST,
  /** A minion runs something that is not recorded for it. */
  STRAY_TASK,
  /** A workflow reached its end. */
  WORKFLOW_ENDED,
  /** A minion is known for the first time, or in a new life. */
  MINION_JOINED,
  /** A minion drains. */
  MINION_DRAINING,
  /** A minion has ended, or its life is over. */
  MINION_GONE,
  /** Tasks of several workflows fail on a minion; it gets no work for a while. */
  MINION_ISOLATED,
  /** A minion does not answer. */
  MINION_SUSPECTED,
  /** A minion answers again. */
  MINION_RETURNED
}
