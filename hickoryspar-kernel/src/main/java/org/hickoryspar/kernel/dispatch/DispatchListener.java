package org.hickoryspar.kernel.dispatch;

import org.hickoryspar.kernel.runtime.KeyLevel;

/**
 * Receives each decision of the leader and each change in its view of the minions, for logs and
 * metrics.
 */
@FunctionalInterface
public interface DispatchListener {

  /**
   * Handles an event. Called on the thread of the dispatcher; must not block.
   *
   * @param kind kind of the event
   * @param subject identifier of the workflow, run or minion that the event concerns
   * @param details alternating names and values: the inputs of the decision and its outcome
   */
  void onEvent(DispatchEventKind kind, String subject, Object... details);

  /**
   * Handles the placement of a group of tasks. Must not block.
   *
   * @param priority priority of the queue
   * @param waitedMillis time from the due time of the group to its placement
   */
  default void onGroupPlaced(int priority, long waitedMillis) {}

  /**
   * Handles the end of a workflow. Must not block.
   *
   * @param priority priority of the queue
   * @param durationMillis time from the acceptance of the workflow to its end
   */
  default void onWorkflowEnded(int priority, long durationMillis) {}

  /**
   * Handles the end of a run that did all the work of its tasks. Must not block.
   *
   * @param priority priority of the queue
   * @param basis what the expected run time rested on
   * @param ranMillis the run time
   * @param expectedMillis the median run time that was expected when the run was new
   */
  default void onWholeRunEnded(int priority, KeyLevel basis, long ranMillis, long expectedMillis) {}
}
