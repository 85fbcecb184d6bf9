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

  private static final String TRACE = "0af7651916cd43dd8448eb211c80319c";

  // -- spans and metrics

  /** Guards against a hop that is missing from the caller's trace, and against missing metrics. */
  @Test
  public void shouldContinueTheTraceOfTheCallerWithASpanPerHop() throws Exception {
    Spans spans = new Spans();
    try (SdkTracerProvider provider =
            SdkTracerProvider.builder()
                .addSpanProcessor(SimpleSpanProcessor.create(spans))
                .build();
        Rig rig = new Rig()) {
      rig.tracer = provider.get("test");
      EntryDaemon entry = rig.startEntry();
      rig.startMinion(Faults.NONE);
      HttpRequest request =
          rig.call(entry, "north", false)
              .request()
              .header("traceparent", "00-" + TRACE + "-b7ad6b7169203331-01")
              .build();
      HttpResponse<String> answer = rig.http.send(request, HttpResponse.BodyHandlers.ofString());
      assertTrue(answer.headers().firstValue("traceparent").orElse("").contains(TRACE));
      await().atMost(Rig.GENEROUS).until(() -> spans.byName.containsKey("entry.request"));
      SpanData whole = spans.byName.get("entry.request");
      assertEquals(whole.getParentSpanId(), "b7ad6b7169203331");
      for (String name : List.of("entry.claim", "entry.attempt")) {
        SpanData hop = spans.byName.get(name);
        assertEquals(hop.getTraceId(), TRACE, name);
        assertEquals(hop.getParentSpanId(), whole.getSpanId(), name);
      }
      HttpRequest metrics =
          HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + entry.port() + "/metrics"))
              .build();
      await()
          .atMost(Rig.GENEROUS)
          .until(
              () -> {
                String text = rig.http.send(metrics, HttpResponse.BodyHandlers.ofString()).body();
                return text.contains("hickoryspar_requests_total{")
                    && text.contains("outcome=\"answered\"")
                    && text.contains("hickoryspar_slots_in_use{")
                    && text.contains("hickoryspar_queue_length{")
                    && text.contains("hickoryspar_circuits_open{");
              });
    }
  }

  private static final class Spans implements SpanExporter {
    private final Map<String, SpanData> byName = new ConcurrentHashMap<>();

    @Override
    public CompletableResultCode export(Collection<SpanData> batch) {
      batch.forEach(span -> byName.put(span.getName(), span));
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
