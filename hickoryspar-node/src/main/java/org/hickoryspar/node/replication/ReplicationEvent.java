package org.hickoryspar.node.replication;

import java.util.logging.Level;
import org.hickoryspar.node.observability.LogEvent;

/** Log events of a running replica. */
enum ReplicationEvent implements LogEvent {
  STARTED(2100, Level.INFO, "replica %s started"),
  ROLE_CHANGED(2101, Level.INFO, "replica %s is %s in term %d, leader %s"),
  FAILED(2102, Level.SEVERE, "replica %s failed and must be restarted"),
  CLOSE_FAILED(2103, Level.WARNING, "failed to close the storage of replica %s"),
  RESTORED(2104, Level.INFO, "replica %s restored the snapshot at index %d (%d bytes)"),
  MESSAGES_DROPPED(
      2105, Level.WARNING, "replica %s dropped a message because %d events of %d bytes are queued");

  private final int number;

  // Level is immutable but lacks the annotation.
  @SuppressWarnings("ImmutableEnumChecker")
  private final Level level;

  private final String template;

  ReplicationEvent(int number, Level level, String template) {
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
