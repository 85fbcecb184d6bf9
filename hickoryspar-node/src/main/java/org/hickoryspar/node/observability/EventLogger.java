package org.hickoryspar.node.observability;

import static java.util.Objects.requireNonNull;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Logs numbered events. Lines above the rate limit of their event are dropped and counted.
 * Thread-safe.
 */
public final class EventLogger {

  /** Limit for each event; the busiest leader logs about half of this. */
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
   * Logs a decision with its inputs as members of the line.
   *
   * @param event the event
   * @param subject identifier of the workflow, run, minion or call that the decision concerns
   * @param namesAndValues names of the inputs, each followed by its value
   */
  public static void logDecision(
      LogEvent event, String subject, @Nullable Object... namesAndValues) {
    requireNonNull(event, "event is null");
    if (RATE_LIMITER.tryAcquire(event.number())) {
      LOGGER.at(event.level()).log(
          "%s", JsonLinesFormatter.formatDecision(event, subject, namesAndValues));
    }
  }

  /** Returns the rate limiter shared by all lines of the process. */
  static LogRateLimiter rateLimiter() {
    return RATE_LIMITER;
  }

  static String formatMessage(LogEvent event, @Nullable Object... arguments) {
    return "[" + event.number() + "] " + String.format(event.template(), arguments);
  }
}
