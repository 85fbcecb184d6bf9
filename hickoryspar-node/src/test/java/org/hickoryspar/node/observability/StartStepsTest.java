package org.hickoryspar.node.observability;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

public class StartStepsTest {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final AtomicLong clockNanos = new AtomicLong(-5 * NANOS_PER_MILLI);
  private final StartSteps steps = new StartSteps(clockNanos::get);

  private void reachAfter(long millis, StartSteps.Step step) {
    clockNanos.addAndGet(millis * NANOS_PER_MILLI);
    steps.reach(step);
  }

  /** Guards against a figure of the start that changes with a later session or leader. */
  @Test
  public void shouldKeepTheFirstTimeInTheOrderOfTheStepsWhenReachedAgain() {
    reachAfter(20, StartSteps.Step.LEADER_KNOWN);
    reachAfter(30, StartSteps.Step.SERVING);
    reachAfter(40, StartSteps.Step.LEADER_KNOWN);

    Map<StartSteps.Step, Long> reached = steps.reachedMillis();
    assertEquals(
        List.copyOf(reached.keySet()),
        List.of(StartSteps.Step.LEADER_KNOWN, StartSteps.Step.SERVING));
    assertEquals(List.copyOf(reached.values()), List.of(20L, 50L));

    PrometheusRegistry registry = new PrometheusRegistry();
    steps.register(registry);
    String page = new String(MetricsText.render(registry), StandardCharsets.UTF_8);
    assertTrue(page.contains("hickoryspar_start_step_seconds{step=\"serving\"} 0.05"), page);
  }
}
