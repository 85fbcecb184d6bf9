package org.hickoryspar.node.dispatch;

import java.util.logging.Level;
import org.hickoryspar.node.observability.LogEvent;

/** Log events of dispatch sessions, workflow calls and catalog calls, 5000 to 5099. */
enum DispatchLogEvent implements LogEvent {
  SESSION_STARTED(
      5001,
      Level.INFO,
      "leading in term %d, dispatch session started: %d workflows, fencing token %d"),
  SESSION_ENDED(5002, Level.INFO, "dispatch session of term %d ended"),
  SESSION_FAILED(5003, Level.SEVERE, "the dispatcher failed; its state is rebuilt"),
  PROPOSAL_FAILED(5004, Level.WARNING, "workflow events were not recorded: %s"),
  REGISTRY_NOT_READ(5005, Level.INFO, "the saved registry of minions cannot be read: %s"),
  REGISTRY_NOT_WRITTEN(5006, Level.WARNING, "the registry of minions cannot be saved: %s"),
  ORDER_FAILED(5007, Level.WARNING, "an order to minion %s failed"),
  REPORTS_FORGOTTEN(
      5008,
      Level.INFO,
      "the leader no longer holds the reports of %d minions; they are sent again"),
  WORKFLOW_ACCEPTED(5020, Level.INFO, "%s"),
  WORKFLOW_REFUSED(5021, Level.INFO, "%s"),
  WORKFLOW_CANCELLED(5022, Level.INFO, "%s"),
  CALL_REFUSED(5023, Level.INFO, "%s"),
  CALL_ENDED(5024, Level.INFO, "%s"),
  CATALOG_CHANGED(5030, Level.INFO, "catalog version %d is in force: %d queues, %d teams"),
  CATALOG_REFUSED(5031, Level.INFO, "catalog version %d is refused: %s"),
  DATA_CENTRE_SWITCHED(5032, Level.INFO, "data centre %s: out of service is set to %s"),
  ORDER_ABANDONED(
      5033,
      Level.WARNING,
      "data centre %s: the order to set out of service to %s was dropped, its sender has left");

  private final int number;
  private final Level level;
  private final String template;

  DispatchLogEvent(int number, Level level, String template) {
    this.number = number;
    this.level = level;
    this.template = template;
  }

  @Override
  public int number() {
    return number;
  }

  @Override
  public Level level() {
    return level;
  }

  @Override
  public String template() {
    return template;
  }
}
