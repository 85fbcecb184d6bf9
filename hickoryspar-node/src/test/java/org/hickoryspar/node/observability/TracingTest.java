package org.hickoryspar.node.observability;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.context.Context;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.hickoryspar.node.settings.Settings;
import org.hickoryspar.node.settings.Settings.TracingSettings;
import org.jspecify.annotations.Nullable;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class TracingTest {

  private static final String PARENT = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

  private static Settings settings(@Nullable TracingSettings tracing) {
    return new Settings("c", "i1", "a", "r", null, null, List.of(), List.of(), tracing, null);
  }

  // ------------------------------------------------------------- start

  /** Guards against spans without their parent, and against spans lost when a process stops. */
  @Test
  public void shouldWriteSpansWithTheirParentWhenClosed() throws Exception {
    Path file = Files.createTempFile("spans", ".jsonl");
    try (Tracing tracing =
        Tracing.start(settings(new TracingSettings(file.toString(), null)), "entry")) {
      tracing
          .tracer()
          .spanBuilder("hop")
          .setParent(Tracing.parseTraceParent(PARENT))
          .startSpan()
          .end();
    }

    JsonNode span = JsonMapper.builder().build().readTree(Files.readString(file));
    Files.delete(file);

    assertEquals(span.path("name").asText(), "hop");
    assertEquals(span.path("traceId").asText(), "0af7651916cd43dd8448eb211c80319c");
    assertEquals(span.path("parentSpanId").asText(), "b7ad6b7169203331");
    assertEquals(span.path("instance").asText(), "i1");
  }

  /** Guards against responses without a trace identifier when nothing is exported. */
  @Test
  public void shouldAssignSpanIdsWhenNothingIsExported() {
    try (Tracing tracing = Tracing.start(settings(null), "entry")) {
      Span span = tracing.tracer().spanBuilder("hop").startSpan();

      assertTrue(
          Tracing.formatTraceParent(Context.root().with(span))
              .matches("00-\\w{32}-\\w{16}-[0-9a-f]{2}"));
    }
  }

  // ------------------------------------------------------------- trace parents

  @DataProvider
  public Object[][] traceParents() {
    return new Object[][] {
      {PARENT, PARENT},
      {"", ""},
      {"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331", ""},
      {"ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01", ""},
      {"00-00000000000000000000000000000000-b7ad6b7169203331-01", ""},
    };
  }

  /** Guards against a malformed header that fails a request or joins unrelated traces. */
  @Test(dataProvider = "traceParents")
  public void shouldIgnoreInvalidTraceParents(String text, String expected) {
    assertEquals(Tracing.formatTraceParent(Tracing.parseTraceParent(text)), expected);
  }

  // ------------------------------------------------------------- metrics

  /** Guards against a metrics page without the memory and processor time of the daemon. */
  @Test
  public void shouldRenderProcessMetrics() {
    PrometheusRegistry registry = new PrometheusRegistry();
    ProcessMetrics.register(registry);

    String text = new String(MetricsText.render(registry), StandardCharsets.UTF_8);

    assertTrue(text.contains("# TYPE process_resident_memory_bytes gauge"), text);
    assertTrue(text.contains("process_cpu_seconds_total "), text);
    assertTrue(ProcessMetrics.residentBytes() > 1_000_000);
  }
}
