package org.hickoryspar.node.concurrent;

import java.util.logging.Level;
import org.hickoryspar.node.observability.LogEvent;

/** Log events of shared threads, 6300 to 6399. */
enum ConcurrentEvent implements LogEvent {
  PERIODIC_TASK_FAILED(6300, Level.SEVERE, "the periodic task \"%s\" failed; it is repeated");

  private final int number;
  private final Level level;
  private final String template;

  ConcurrentEvent(int number, Level level, String template) {
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
