package org.hickoryspar.node.observability;

import static java.util.Objects.requireNonNull;

import com.google.common.flogger.FluentLogger;
import org.jspecify.annotations.Nullable;

/** Writes numbered events to the log. */
public final class EventLogger {

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private EventLogger() {}

  /**
   * Logs an event.
   *
   * @param event the event
   * @param arguments arguments of its template
   */
  public static void log(LogEvent event, @Nullable Object... arguments) {
    log(event, null, arguments);
  }

  /**
   * Logs an event with its cause.
   *
   * @param event the event
   * @param cause the cause, or null
   * @param arguments arguments of the template
   */
  public static void log(LogEvent event, @Nullable Throwable cause, @Nullable Object... arguments) {
    requireNonNull(event, "event is null");
    LOGGER.at(event.level()).withCause(cause).log(
        "[%d] %s", event.number(), String.format(event.template(), arguments));
  }
}
