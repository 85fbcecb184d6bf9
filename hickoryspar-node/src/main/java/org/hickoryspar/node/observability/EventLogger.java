package org.hickoryspar.node.observability;

import static java.util.Objects.requireNonNull;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Writes numbered events to the log. */
public final class EventLogger {

  /** Lines of one event in one second; the busiest leader logs about half of it. */
  private static final int MAX_LINES_PER_SECOND = 400;

  private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

  private static final LogRateLimiter RATE_LIMITER =
      new LogRateLimiter(
          MAX_LINES_PER_SECOND, () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));

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
    if (RATE_LIMITER.tryAcquire(event.number())) {
      LOGGER.at(event.level()).withCause(cause).log("%s", formatMessage(event, arguments));
    }
  }

  /**
   * Logs an event with the values that it rests on as members of the line.
   *
   * @param event the event
   * @param subject identifier of what it concerns
   * @param namesAndValues names and values by turns
   */
  public static void logDecision(
      LogEvent event, String subject, @Nullable Object... namesAndValues) {
    requireNonNull(event, "event is null");
    if (RATE_LIMITER.tryAcquire(event.number())) {
      LOGGER.at(event.level()).log(
          "%s", JsonLinesFormatter.formatDecision(event, subject, namesAndValues));
    }
  }

  /** Returns the budget that all lines of the process are taken from. */
  static LogRateLimiter rateLimiter() {
    return RATE_LIMITER;
  }

  static String formatMessage(LogEvent event, @Nullable Object... arguments) {
    return "[" + event.number() + "] " + String.format(event.template(), arguments);
  }
}
