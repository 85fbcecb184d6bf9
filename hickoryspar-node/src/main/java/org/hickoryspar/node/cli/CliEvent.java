package org.hickoryspar.node.cli;

import java.util.logging.Level;
import org.hickoryspar.node.observability.LogEvent;

/** Log events of the daemon processes, 6000 to 6099. */
@SuppressWarnings("ImmutableEnumChecker") // java.util.logging.Level has no setters
enum CliEvent implements LogEvent {
  DAEMON_STARTED(6000, Level.INFO, "%s daemon of instance %s started in %d ms"),
  DAEMON_START_FAILED(6001, Level.SEVERE, "%s daemon of instance %s failed to start"),
  DAEMON_STOPPING(6002, Level.INFO, "%s daemon is stopping, timeout %d ms"),
  DAEMON_STOPPED(6003, Level.INFO, "%s daemon stopped"),
  DAEMON_STOP_FAILED(6004, Level.WARNING, "%s daemon failed while stopping"),
  DAEMON_STOP_TIMED_OUT(
      6005, Level.SEVERE, "%s daemon did not stop within %d ms; halting the process");

  private final int number;
  private final Level level;
  private final String template;

  CliEvent(int number, Level level, String template) {
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
