package org.hickoryspar.kernel.dispatch;

/** Kinds of events that a {@link DispatchListener} receives. */
public enum DispatchEventKind {
  /** A group is placed and its start is proposed. */
  RUN_PLACED,
  /** A group has been waiting for resources for some time. */
  GROUP_WAITS,
  /** A group that has waited beside idle capacity is placed there against a preference. */
  PREFERENCES_DROPPED,
  /** The replicated state refused a start. */
  RUN_REFUSED,
  /** A minion rejected a start. */
  START_REJECTED,
  /** A minion that responds to renewals does not respond to the starts of a task. */
  START_GIVEN_UP,
  /** The stop of a run is requested. */
  RUN_STOPPING,
  /** A run is preempted for a group of a more urgent workflow. */
  RUN_PREEMPTED,
  /** A run on a slow minion is stopped to be started anew elsewhere. */
  RUN_MOVED,
  /** A minion reported the end of a task. */
  TASK_ENDED,
  /** All members of a gang have ended. */
  RUN_OVER,
  /** A task does not run and can no longer start on its minion. */
  TASK_LOST,
  /** A minion runs a task that is not recorded for it. */
  STRAY_TASK,
  /** A workflow has completed, failed or been cancelled. */
  WORKFLOW_ENDED,
  /** A minion that was unknown has reported for the first time. */
  MINION_JOINED,
  /** A minion has started to drain. */
  MINION_DRAINING,
  /** A minion was removed after a long silence, or replaced by a new life or another minion. */
  MINION_GONE,
  /** Tasks fail on a minion, which receives no work for some time. */
  MINION_ISOLATED,
  /** A minion has turned slow against the others of its service, or is no longer slow. */
  MINION_PACE_CHANGED,
  /** The renewal of a minion's lease has failed. */
  MINION_SUSPECTED,
  /** A suspected minion has responded to a renewal again. */
  MINION_RETURNED,
  /** A minion, or an earlier life of it, has announced that its process is about to end. */
  MINION_LEAVING,
  /** A minion has responded to a renewal that was sent after its announced end. */
  MINION_STAYED,
  /** A minion is known only from an old report or from its runs, and receives no work. */
  MINION_PROVISIONAL,
  /** A provisional minion has reported its current state. */
  MINION_CONFIRMED,
  /** A life is reported in the place of a known minion, which stays until the life responds. */
  LIFE_UNPROVEN,
  /** A life that was reported in the place of a known minion is not there. */
  LIFE_REFUTED,
  /** A report names a service of no catalog, and changes nothing. */
  REPORT_IGNORED,
  /** The work of a service exceeds its room, and the shares of the teams order its starts. */
  OVERLOAD_ENTERED,
  /** The work of a service fits into its room again, and urgency orders its starts. */
  OVERLOAD_LEFT,
  /** A step that has waited for too long in an overloaded service goes ahead of its turn. */
  AHEAD_OF_TURN
}
