package org.hickoryspar.node.entry;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.hickoryspar.standins.minion.Faults;
import org.testng.annotations.Test;

public class EntryTelemetryTest {

  private static final String TRACE_ID = "0af7651916cd43dd8448eb211c80319c";

  // -- spans and metrics

  /** Guards against spans that are missing from the trace of the caller, and missing metrics. */
  @Test
  public void shouldContinueTheTraceOfTheCallerWithASpanPerHop() throws Exception {
    SpanCollector spans = new SpanCollector();
    try (SdkTracerProvider provider =
            SdkTracerProvider.builder()
                .addSpanProcessor(SimpleSpanProcessor.create(spans))
                .build();
        EntryHarness harness = new EntryHarness()) {
      harness.tracer = provider.get("test");
      EntryDaemon entry = harness.startEntry();
      harness.startMinion(Faults.NONE);
      HttpRequest request =
          harness
              .call(entry, "north", false)
              .request()
              .header("traceparent", "00-" + TRACE_ID + "-b7ad6b7169203331-01")
              .build();
      HttpResponse<String> response =
          harness.http.send(request, HttpResponse.BodyHandlers.ofString());
      assertTrue(response.headers().firstValue("traceparent").orElse("").contains(TRACE_ID));
      await()
          .atMost(EntryHarness.TIMEOUT)
          .until(() -> spans.spansByName.containsKey("entry.request"));
      SpanData requestSpan = spans.spansByName.get("entry.request");
      assertEquals(requestSpan.getParentSpanId(), "b7ad6b7169203331");
      for (String name : List.of("entry.claim", "entry.attempt")) {
        SpanData childSpan = spans.spansByName.get(name);
        assertEquals(childSpan.getTraceId(), TRACE_ID, name);
        assertEquals(childSpan.getParentSpanId(), requestSpan.getSpanId(), name);
      }
      HttpRequest metricsRequest =
          HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.port() + "/metrics"))
              .build();
      await()
          .atMost(EntryHarness.TIMEOUT)
          .until(
              () -> {
                String metricsText =
                    harness.http.send(metricsRequest, HttpResponse.BodyHandlers.ofString()).body();
                return metricsText.contains("hickoryspar_requests_total{")
                    && metricsText.contains("outcome=\"answered\"")
                    && metricsText.contains("hickoryspar_slots_in_use{")
                    && metricsText.contains("hickoryspar_queue_length{")
                    && metricsText.contains("hickoryspar_circuits_open{");
              });
    }
  }

  private static final class SpanCollector implements SpanExporter {
    private final Map<String, SpanData> spansByName = new ConcurrentHashMap<>();

    @Override
    public CompletableResultCode export(Collection<SpanData> batch) {
      batch.forEach(span -> spansByName.put(span.getName(), span));
      return CompletableResultCode.ofSuccess();
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
}
