package org.hickoryspar.node.faults;

import java.util.logging.Level;
import org.hickoryspar.node.observability.LogEvent;

/** Log events of injected faults, 6200 to 6299. */
enum FaultEvent implements LogEvent {
  INJECTION_ON(
      6200, Level.WARNING, "fault injection is enabled, for tests only; faults are read from %s"),
  FAULTS_CHANGED(6201, Level.WARNING, "injected faults set to %s"),
  FAULTS_UNREADABLE(
      6202, Level.WARNING, "cannot read faults, the injected ones remain unchanged: %s");

  private final int number;
  private final Level level;
  private final String template;

  FaultEvent(int number, Level level, String template) {
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
