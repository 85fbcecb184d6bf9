package org.hickoryspar.node.entry;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.server.Request;
import org.jspecify.annotations.Nullable;

/** Starts the spans of a request and propagates W3C trace contexts. */
final class RequestTracer {

  private static final W3CTraceContextPropagator PROPAGATOR =
      W3CTraceContextPropagator.getInstance();

  private static final TextMapGetter<Request> HEADER_GETTER =
      new TextMapGetter<>() {
        @Override
        public @Nullable String get(@Nullable Request carrier, String key) {
          return carrier == null ? null : carrier.getHeaders().get(key);
        }
      };

  private final Tracer tracer;

  RequestTracer(Tracer tracer) {
    this.tracer = tracer;
  }

  Span startRequestSpan(Request request, String service) {
    return tracer
        .spanBuilder("entry.request")
        .setParent(PROPAGATOR.extract(Context.root(), request, HEADER_GETTER))
        .setSpanKind(SpanKind.SERVER)
        .setAttribute("hickoryspar.service", service)
        .startSpan();
  }

  Span startChildSpan(String name, Context parent) {
    return tracer.spanBuilder(name).setParent(parent).setSpanKind(SpanKind.CLIENT).startSpan();
  }

  /** Returns the {@code traceparent} of a span, or an empty string if the span is not traced. */
  static String traceParent(Span span) {
    List<String> values = new ArrayList<>();
    PROPAGATOR.inject(
        Context.root().with(span),
        values,
        (carrier, key, value) -> {
          if (carrier != null && key.equals("traceparent")) {
            carrier.add(value);
          }
        });
    return values.isEmpty() ? "" : values.get(0);
  }
}
