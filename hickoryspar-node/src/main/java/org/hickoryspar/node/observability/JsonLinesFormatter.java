package org.hickoryspar.node.observability;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Throwables;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanContext;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Formats a log record as one line of JSON: {@code time}, {@code level}, {@code event}, {@code
 * instance}, {@code traceId}, {@code spanId}, {@code logger}, {@code message}, {@code error}.
 * Members without a value are left out.
 */
public final class JsonLinesFormatter extends Formatter {

  /** {@link EventLogger} writes the number of the event in front of the message. */
  private static final Pattern EVENT = Pattern.compile("\\[(\\d{4,5})] (.*)", Pattern.DOTALL);

  private final String instanceId;

  /**
   * Creates a formatter.
   *
   * @param instanceId the instance that writes the log
   */
  public JsonLinesFormatter(String instanceId) {
    this.instanceId = requireNonNull(instanceId, "instanceId is null");
  }

  @Override
  public String format(LogRecord logRecord) {
    ObjectNode line = JsonNodeFactory.instance.objectNode();
    line.put("time", logRecord.getInstant().toString());
    line.put("level", logRecord.getLevel().getName());
    String message = formatMessage(logRecord);
    Matcher event = EVENT.matcher(message == null ? "" : message);
    if (event.matches()) {
      line.put("event", Integer.parseInt(event.group(1)));
      message = event.group(2);
    }
    line.put("instance", instanceId);
    SpanContext span = Span.current().getSpanContext();
    if (span.isValid()) {
      line.put("traceId", span.getTraceId());
      line.put("spanId", span.getSpanId());
    }
    line.put("logger", logRecord.getLoggerName());
    line.put("message", message);
    if (logRecord.getThrown() != null) {
      line.put("error", Throwables.getStackTraceAsString(logRecord.getThrown()));
    }
    return line + "\n";
  }
}
