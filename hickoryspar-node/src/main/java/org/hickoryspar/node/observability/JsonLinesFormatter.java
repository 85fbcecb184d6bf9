package org.hickoryspar.node.observability;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.google.common.base.Throwables;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanContext;
import java.time.Instant;
import java.time.LocalDateTime;
import java.time.ZoneOffset;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import org.jspecify.annotations.Nullable;

/**
 * Formats a log record as one line of JSON: {@code time}, {@code level}, {@code event}, {@code
 * instance}, {@code traceId}, {@code spanId}, {@code message}, {@code error}; {@code logger} for
 * lines without an event. A decision has {@code name}, {@code subject} and its inputs instead of
 * the message. Members without a value are omitted.
 */
public final class JsonLinesFormatter extends Formatter {

  private static final int INITIAL_CAPACITY = 256;
  private static final int NANOS_PER_MILLI = 1_000_000;

  private final String instanceId;

  /**
   * Creates a formatter.
   *
   * @param instanceId identifier of the instance that writes the log
   */
  public JsonLinesFormatter(String instanceId) {
    this.instanceId = requireNonNull(instanceId, "instanceId is null");
  }

  /**
   * Returns a message with the members of a decision, which {@link #format} merges into the line.
   */
  static String formatDecision(LogEvent event, String subject, @Nullable Object... namesAndValues) {
    StringBuilder text = new StringBuilder(INITIAL_CAPACITY);
    text.append('[').append(event.number()).append("] {\"name\":\"").append(event).append('"');
    appendMember(text, "subject", subject);
    for (int i = 0; i + 1 < namesAndValues.length; i += 2) {
      appendMember(text, String.valueOf(namesAndValues[i]), namesAndValues[i + 1]);
    }
    return text.append('}').toString();
  }

  private static void appendMember(StringBuilder text, String name, @Nullable Object value) {
    text.append(",\"").append(name).append("\":");
    if (value instanceof Number || value instanceof Boolean) {
      text.append(value);
    } else {
      appendString(text, String.valueOf(value));
    }
  }

  private static void appendString(StringBuilder text, String value) {
    text.append('"').append(JsonStringEncoder.getInstance().quoteAsString(value)).append('"');
  }

  @Override
  public String format(LogRecord logRecord) {
    StringBuilder line = new StringBuilder(INITIAL_CAPACITY);
    line.append("{\"time\":\"");
    appendTime(line, logRecord.getInstant());
    line.append('"');
    appendMember(line, "level", logRecord.getLevel().getName());
    appendMember(line, "instance", instanceId);
    String message = String.valueOf(formatMessage(logRecord));
    int prefixEnd = message.startsWith("[") ? message.indexOf("] ") : -1;
    if (prefixEnd > 0) {
      line.append(",\"event\":").append(message, 1, prefixEnd);
      message = message.substring(prefixEnd + 2);
    } else {
      appendMember(line, "logger", logRecord.getLoggerName());
    }
    appendSpan(line);
    if (prefixEnd > 0 && message.startsWith("{\"name\":")) {
      line.append(',').append(message, 1, message.length() - 1);
    } else {
      appendMember(line, "message", message);
    }
    if (logRecord.getThrown() != null) {
      appendMember(line, "error", Throwables.getStackTraceAsString(logRecord.getThrown()));
    }
    return line.append("}\n").toString();
  }

  // The formatter of java.time is prepared when it is first used, which delays the start.
  private static void appendTime(StringBuilder line, Instant instant) {
    LocalDateTime time =
        LocalDateTime.ofEpochSecond(instant.getEpochSecond(), instant.getNano(), ZoneOffset.UTC);
    line.append(time.toLocalDate()).append('T');
    appendDigits(line, time.getHour(), 2);
    line.append(':');
    appendDigits(line, time.getMinute(), 2);
    line.append(':');
    appendDigits(line, time.getSecond(), 2);
    line.append('.');
    appendDigits(line, time.getNano() / NANOS_PER_MILLI, 3);
    line.append('Z');
  }

  private static void appendDigits(StringBuilder line, int value, int digits) {
    String text = Integer.toString(value);
    line.append("0".repeat(digits - text.length())).append(text);
  }

  private static void appendSpan(StringBuilder line) {
    SpanContext span = Span.current().getSpanContext();
    if (span.isValid()) {
      appendMember(line, "traceId", span.getTraceId());
      appendMember(line, "spanId", span.getSpanId());
    }
  }
}
