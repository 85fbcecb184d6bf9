package org.hickoryspar.standins.minion;

import java.util.logging.Level;
import org.hickoryspar.node.observability.LogEvent;

/** Log events of the stub minion. */
// Level is immutable but not annotated as such.
@SuppressWarnings("ImmutableEnumChecker")
enum MinionEvent implements LogEvent {
  STARTED(7000, Level.INFO, "stub minion %s serves service %s on port %d"),
  ANNOUNCE_FAILED(7001, Level.WARNING, "announcement to one of the entries %s failed: %s"),
  FAULTS(7002, Level.INFO, "faults of minion %s set to %s");

  private final int number;
  private final Level level;
  private final String template;

  MinionEvent(int number, Level level, String template) {
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
