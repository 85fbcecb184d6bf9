package org.hickoryspar.node.observability;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Collection;

/**
 * Appends spans to a file, one JSON object per line: {@code traceId}, {@code spanId}, {@code
 * parentSpanId}, {@code name}, {@code kind}, {@code instance}, {@code startNanos} and {@code
 * durationNanos}, {@code status}, {@code attributes}.
 *
 * <p>Several processes may share a file, because each batch is appended by one write.
 */
public final class SpanFileExporter implements SpanExporter {

  private static final String NO_PARENT_SPAN_ID = "0000000000000000";

  private final Path file;
  private final String instanceId;

  /**
   * Creates an exporter; the file is created with the first span.
   *
   * @param file the file
   * @param instanceId identifier of the instance that records the spans
   */
  public SpanFileExporter(Path file, String instanceId) {
    this.file = requireNonNull(file, "file is null");
    this.instanceId = requireNonNull(instanceId, "instanceId is null");
  }

  @Override
  public CompletableResultCode export(Collection<SpanData> spans) {
    StringBuilder lines = new StringBuilder();
    spans.forEach(span -> lines.append(toJson(span)).append('\n'));
    try {
      Files.write(
          file,
          lines.toString().getBytes(StandardCharsets.UTF_8),
          StandardOpenOption.CREATE,
          StandardOpenOption.APPEND);
      return CompletableResultCode.ofSuccess();
    } catch (IOException e) {
      EventLogger.log(ObservabilityEvent.SPAN_FILE_FAILED, e, file, spans.size());
      return CompletableResultCode.ofFailure();
    }
  }

  private ObjectNode toJson(SpanData span) {
    ObjectNode line = JsonNodeFactory.instance.objectNode();
    line.put("traceId", span.getTraceId());
    line.put("spanId", span.getSpanId());
    if (!NO_PARENT_SPAN_ID.equals(span.getParentSpanId())) {
      line.put("parentSpanId", span.getParentSpanId());
    }
    line.put("name", span.getName());
    line.put("kind", span.getKind().name());
    line.put("instance", instanceId);
    line.put("startNanos", span.getStartEpochNanos());
    line.put("durationNanos", span.getEndEpochNanos() - span.getStartEpochNanos());
    line.put("status", span.getStatus().getStatusCode().name());
    ObjectNode attributes = line.putObject("attributes");
    span.getAttributes()
        .forEach((key, value) -> attributes.put(key.getKey(), String.valueOf(value)));
    return line;
  }

  @Override
  public CompletableResultCode flush() {
    return CompletableResultCode.ofSuccess();
  }

  @Override
  public CompletableResultCode shutdown() {
    return CompletableResultCode.ofSuccess();
  }
}
