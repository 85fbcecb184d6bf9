package org.hickoryspar.node.observability;

import java.util.logging.Level;

/** Log events of tracing and of the log itself, 6100 to 6199. */
@SuppressWarnings("ImmutableEnumChecker") // java.util.logging.Level has no setters
enum ObservabilityEvent implements LogEvent {
  SPAN_FILE_FAILED(6100, Level.WARNING, "cannot write spans to %s; %d spans are lost"),
  LINES_DROPPED(6101, Level.WARNING, "%d log lines were dropped"),
  PROCESS_SERVES(6102, Level.INFO, "the process serves; steps since its start: %s");

  private final int number;
  private final Level level;
  private final String template;

  ObservabilityEvent(int number, Level level, String template) {
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
