package org.hickoryspar.node.observability;

import static java.util.Objects.requireNonNull;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.opentelemetry.context.Scope;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.testng.annotations.Test;

public class JsonLinesFormatterTest {

  private static final String TRACE_PARENT =
      "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

  private static JsonNode format(LogRecord logRecord) throws Exception {
    String line = new JsonLinesFormatter("i1").format(logRecord);
    assertEquals(line.indexOf('\n'), line.length() - 1, line);
    return JsonMapper.builder().build().readTree(line);
  }

  // ------------------------------------------------------------- format

  /** Guards against log lines without the identifiers of their trace or their event number. */
  @Test
  public void shouldWriteEventInstanceAndTrace() throws Exception {
    LogRecord logRecord = new LogRecord(Level.WARNING, "[6100] line one\nline \"two\"");

    JsonNode line;
    try (Scope scope = Tracing.parseTraceParent(TRACE_PARENT).makeCurrent()) {
      requireNonNull(scope);
      line = format(logRecord);
    }

    assertEquals(line.path("event").asInt(), 6100);
    assertEquals(line.path("message").asText(), "line one\nline \"two\"");
    assertEquals(line.path("instance").asText(), "i1");
    assertEquals(line.path("traceId").asText(), "0af7651916cd43dd8448eb211c80319c");
    assertEquals(line.path("level").asText(), "WARNING");
  }

  /** Guards against a missing stack trace, and against a trace identifier without a span. */
  @Test
  public void shouldWriteErrorAndOmitTraceWhenThereIsNoSpan() throws Exception {
    LogRecord logRecord = new LogRecord(Level.SEVERE, "failed");
    logRecord.setThrown(new IllegalStateException("cause"));

    JsonNode line = format(logRecord);

    assertEquals(
        line.path("error").asText().lines().findFirst().orElse(""),
        "java.lang.IllegalStateException: cause");
    assertFalse(line.has("traceId"));
    assertFalse(line.has("event"));
  }
}
