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

/** Makes the spans of a request and carries W3C trace contexts. */
final class Traces {

  private static final W3CTraceContextPropagator PROPAGATOR =
      W3CTraceContextPropagator.getInstance();

  private static final TextMapGetter<Request> GETTER =
      new TextMapGetter<>() {
        @Override
        public @Nullable String get(@Nullable Request carrier, String key) {
          return carrier == null ? null : carrier.getHeaders().get(key);
        }
      };

  private final Tracer tracer;

  Traces(Tracer tracer) {
    this.tracer = tracer;
  }

  Span request(Request request, String service) {
    return tracer
        .spanBuilder("entry.request")
        .setParent(PROPAGATOR.extract(Context.root(), request, GETTER))
        .setSpanKind(SpanKind.SERVER)
        .setAttribute("hickoryspar.service", service)
        .startSpan();
  }

  Span child(String name, Context parent) {
    return tracer.spanBuilder(name).setParent(parent).setSpanKind(SpanKind.CLIENT).startSpan();
  }

  /** Returns the {@code traceparent} of a span, or an empty text when it is not traced. */
  static String traceParent(Span span) {
    List<String> found = new ArrayList<>();
    PROPAGATOR.inject(
        Context.root().with(span),
        found,
        (carrier, key, value) -> {
          if (carrier != null && key.equals("traceparent")) {
            carrier.add(value);
          }
        });
    return found.isEmpty() ? "" : found.get(0);
  }
}
