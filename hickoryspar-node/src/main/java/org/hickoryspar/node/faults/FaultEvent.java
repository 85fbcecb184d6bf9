package org.hickoryspar.node.faults;

import java.util.logging.Level;
import org.hickoryspar.node.observability.LogEvent;

/** Log events of injected faults, 6200 to 6299. */
enum FaultEvent implements LogEvent {
  INJECTION_ON(6200, Level.WARNING, "this process injects faults as %s says; never use it so"),
  FAULTS_CHANGED(6201, Level.WARNING, "injected faults: %s"),
  FAULTS_UNREADABLE(6202, Level.WARNING, "injected faults stay as they were: %s");

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
