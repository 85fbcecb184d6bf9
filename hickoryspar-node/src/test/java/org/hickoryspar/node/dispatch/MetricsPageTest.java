package org.hickoryspar.node.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import io.prometheus.metrics.model.registry.Collector;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.hickoryspar.node.observability.ProcessMetrics;
import org.testng.annotations.Test;

/** Compares the metrics of the daemons on the platform with the operations page. */
public class MetricsPageTest {

  private static final Path PAGE = Path.of("..", "docs", "OPERATIONS.md");

  /** Guards against a metric that a process exports but the operations page does not list. */
  @Test
  void shouldListEveryMetricOfWorkflowsAndOfTheProcess() throws IOException {
    List<String> names = new ArrayList<>();
    PrometheusRegistry registry =
        new PrometheusRegistry() {
          @Override
          public void register(Collector collector) {
            names.add(String.valueOf(collector.getPrometheusName()));
          }
        };
    CallTelemetry calls = new CallTelemetry(registry);
    DecisionTelemetry decisions = new DecisionTelemetry(registry);
    ProcessMetrics.register(registry);
    String page = Files.readString(PAGE);

    List<String> missing = names.stream().filter(name -> !page.contains('`' + name)).toList();

    assertFalse(names.isEmpty(), "no metrics of " + calls + " and " + decisions);
    assertEquals(missing, List.of());
  }
}
