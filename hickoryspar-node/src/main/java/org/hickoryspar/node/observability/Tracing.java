package org.hickoryspar.node.observability;

import static java.util.Objects.requireNonNull;

import io.opentelemetry.api.OpenTelemetry;
import io.opentelemetry.api.common.Attributes;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanContext;
import io.opentelemetry.api.trace.TraceFlags;
import io.opentelemetry.api.trace.TraceState;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.ContextPropagators;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.OpenTelemetrySdk;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SdkTracerProviderBuilder;
import io.opentelemetry.sdk.trace.SpanProcessor;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hickoryspar.node.settings.Settings;
import org.hickoryspar.node.settings.Settings.TracingSettings;
import org.jspecify.annotations.Nullable;

/**
 * OpenTelemetry for one process. Without tracing settings, spans are not exported, but have
 * identifiers, which appear in responses and logs.
 *
 * <pre>{@code
 * try (Tracing tracing = Tracing.start(settings, "entry")) {
 *   Span span = tracing.tracer().spanBuilder("forward").setParent(context).startSpan();
 * }
 * }</pre>
 */
public final class Tracing implements AutoCloseable {

  /** Short, so that an operator finds the trace of a recent request; each batch is one write. */
  private static final long EXPORT_DELAY_MILLIS = 500;

  /** Spans beyond a full queue are dropped; 512 spans take less than 1 MB. */
  private static final int MAX_QUEUED_SPANS = 512;

  /** Timeout of the last export when the process stops. */
  private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

  private static final Pattern TRACE_PARENT =
      Pattern.compile("00-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})");

  private final OpenTelemetrySdk sdk;

  private Tracing(OpenTelemetrySdk sdk) {
    this.sdk = sdk;
  }

  /**
   * Starts tracing with an exporter for the destination in the settings.
   *
   * @param settings the settings of this instance
   * @param daemon name of the daemon, {@code "entry"} or {@code "control"}
   * @return the tracing of the process, which exports the queued spans when closed
   */
  public static Tracing start(Settings settings, String daemon) {
    requireNonNull(settings, "settings is null");
    requireNonNull(daemon, "daemon is null");
    SdkTracerProviderBuilder provider =
        SdkTracerProvider.builder()
            .setResource(
                Resource.create(
                    Attributes.builder()
                        .put("service.name", "hickoryspar-" + daemon)
                        .put("service.instance.id", settings.instanceId())
                        .build()));
    provider.addSpanProcessor(
        createProcessor(createExporter(settings.tracing(), settings.instanceId())));
    return new Tracing(
        OpenTelemetrySdk.builder()
            .setTracerProvider(provider.build())
            .setPropagators(ContextPropagators.create(W3CTraceContextPropagator.getInstance()))
            .build());
  }

  private static SpanProcessor createProcessor(@Nullable SpanExporter exporter) {
    if (exporter == null) {
      // A provider without a processor creates spans without identifiers.
      return SimpleSpanProcessor.create(SpanExporter.composite());
    }
    return BatchSpanProcessor.builder(exporter)
        .setScheduleDelay(EXPORT_DELAY_MILLIS, TimeUnit.MILLISECONDS)
        .setMaxQueueSize(MAX_QUEUED_SPANS)
        .setMaxExportBatchSize(MAX_QUEUED_SPANS / 2)
        .build();
  }

  private static @Nullable SpanExporter createExporter(
      @Nullable TracingSettings settings, String instanceId) {
    if (settings == null) {
      return null;
    }
    if (settings.file() != null) {
      return new SpanFileExporter(Path.of(settings.file()), instanceId);
    }
    return settings.otlpEndpoint() == null
        ? null
        : OtlpHttpSpanExporter.builder().setEndpoint(settings.otlpEndpoint()).build();
  }

  /**
   * Returns the OpenTelemetry SDK of this process.
   *
   * @return the interface
   */
  public OpenTelemetry openTelemetry() {
    return sdk;
  }

  /**
   * Returns the tracer of the project.
   *
   * @return the tracer
   */
  public Tracer tracer() {
    return sdk.getTracer("org.hickoryspar");
  }

  /**
   * Formats the span of a context as W3C trace parent, for headers and envelopes.
   *
   * @param context the context
   * @return the trace parent; empty if the context has no valid span
   */
  public static String formatTraceParent(Context context) {
    requireNonNull(context, "context is null");
    SpanContext span = Span.fromContext(context).getSpanContext();
    return span.isValid()
        ? "00-" + span.getTraceId() + "-" + span.getSpanId() + "-" + span.getTraceFlags().asHex()
        : "";
  }

  /**
   * Parses a W3C trace parent into a context whose span is the remote parent.
   *
   * @param traceParent the text; the root context is returned unless it is valid in version 00
   * @return the context
   */
  public static Context parseTraceParent(String traceParent) {
    requireNonNull(traceParent, "traceParent is null");
    Matcher matcher = TRACE_PARENT.matcher(traceParent);
    if (!matcher.matches()) {
      return Context.root();
    }
    SpanContext span =
        SpanContext.createFromRemoteParent(
            matcher.group(1),
            matcher.group(2),
            TraceFlags.fromHex(matcher.group(3), 0),
            TraceState.getDefault());
    return Context.root().with(Span.wrap(span));
  }

  @Override
  public void close() {
    sdk.shutdown().join(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
  }
}
