package org.hickoryspar.node.entry;

import java.util.logging.Level;
import org.hickoryspar.node.observability.LogEvent;

/** Log events of the entry daemon. */
// Level is immutable but not annotated as such.
@SuppressWarnings("ImmutableEnumChecker")
enum EntryEvent implements LogEvent {
  STARTED(4000, Level.INFO, "entry %s serves callers on port %d"),
  DRAINING(4001, Level.INFO, "entry %s drains: readiness withdrawn"),
  DRAINED(4002, Level.INFO, "entry %s drained"),
  CLOSE_FAILED(4003, Level.WARNING, "a component of the entry could not be closed"),
  HANDLER_FAILED(4010, Level.SEVERE, "request %s %s failed with an internal error"),
  TASK_FAILED(4011, Level.SEVERE, "periodic task failed"),
  LEASE_LOST(4020, Level.WARNING, "configuration lease lost; new requests fail as not-run"),
  LEASE_GAINED(4021, Level.INFO, "configuration lease gained, version %d in force"),
  LOWER_VERSION(4022, Level.WARNING, "update with version %d ignored, version %d is in force"),
  BAD_DOCUMENT(4023, Level.SEVERE, "fleet document of version %d cannot be read"),
  WRONG_ANSWER(4030, Level.WARNING, "minion %s responded to request %s with request id %s"),
  SILENT_CONNECTION(4031, Level.WARNING, "closing a connection to minion %s that timed out"),
  CIRCUIT_OPENED(4032, Level.WARNING, "circuit breaker of minion %s opened"),
  OUTCOME_NOT_RECORDED(4040, Level.WARNING, "%d outcomes not recorded: %s; retrying"),
  UNKNOWN_MESSAGE(4050, Level.WARNING, "unexpected message %s from %s ignored");

  private final int number;
  private final Level level;
  private final String template;

  EntryEvent(int number, Level level, String template) {
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
