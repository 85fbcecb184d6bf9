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
  void happened(DispatchEventKind kind, String subject, Object... details);
}
