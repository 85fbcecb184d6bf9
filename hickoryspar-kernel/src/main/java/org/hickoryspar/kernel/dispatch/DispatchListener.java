package org.hickoryspar.kernel.dispatch;

/** Is told about each decision and each change of what the leader believes, for the log. */
@FunctionalInterface
public interface DispatchListener {

  /**
   * Takes note of an event; must not block.
   *
   * @param kind what happened
   * @param subject the workflow, run or minion that it concerns
   * @param details names and values by turns: what the decision rests on, and its outcome
   */
  void onEvent(DispatchEventKind kind, String subject, Object... details);

  /**
   * Takes note that a group of tasks was given its minions; must not block.
   *
   * @param priority priority of its queue
   * @param waitedMillis how long it has waited
   */
  default void onGroupPlaced(int priority, long waitedMillis) {}

  /**
   * Takes note that a workflow has ended; must not block.
   *
   * @param priority priority of its queue
   * @param durationMillis time from its acceptance to its end
   */
  default void onWorkflowEnded(int priority, long durationMillis) {}
}
