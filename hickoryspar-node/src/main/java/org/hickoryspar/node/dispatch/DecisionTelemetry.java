package org.hickoryspar.node.dispatch;

import static java.util.Objects.requireNonNull;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.hickoryspar.kernel.dispatch.DispatchEventKind;
import org.hickoryspar.kernel.dispatch.DispatchListener;
import org.hickoryspar.kernel.dispatch.DispatcherStatus;
import org.hickoryspar.node.observability.EventLogger;

/** Logs and counts the decisions of the dispatcher while this replica leads. */
public final class DecisionTelemetry implements DispatchListener {

  private static final double MILLIS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final Counter events;
  private final Histogram queueWaitSeconds;
  private final Histogram completionSeconds;
  private final Histogram roundSeconds;
  private final Gauge minions;
  private final Gauge groups;
  private final Gauge accelerators;

  /**
   * Creates the telemetry of a process.
   *
   * @param registry where the metrics are registered
   */
  public DecisionTelemetry(PrometheusRegistry registry) {
    requireNonNull(registry, "registry is null");
    events =
        Counter.builder()
            .name("hickoryspar_dispatch_events_total")
            .help("Decisions of the dispatcher and changes of what it believes, by kind")
            .labelNames("kind")
            .register(registry);
    queueWaitSeconds =
        histogram(
            registry,
            "hickoryspar_dispatch_queue_wait_seconds",
            "Time from when a group of tasks may start until it is given its minions");
    completionSeconds =
        histogram(
            registry,
            "hickoryspar_dispatch_workflow_seconds",
            "Time from the acceptance of a workflow to its end");
    roundSeconds =
        Histogram.builder()
            .name("hickoryspar_dispatch_round_seconds")
            .help("Time that one round of decisions takes")
            .classicUpperBounds(0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3)
            .register(registry);
    minions = gauge(registry, "minions", "Minions that the leader knows, by state", "state");
    groups = gauge(registry, "groups", "Groups of tasks that wait or run", "state");
    accelerators = gauge(registry, "accelerators", "Accelerators of usable minions", "state");
  }

  private static Histogram histogram(PrometheusRegistry registry, String name, String help) {
    return Histogram.builder()
        .name(name)
        .help(help)
        .labelNames("priority")
        .classicUpperBounds(0.1, 0.3, 1, 3, 10, 30, 100)
        .register(registry);
  }

  private static Gauge gauge(
      PrometheusRegistry registry, String name, String help, String labelName) {
    return Gauge.builder()
        .name("hickoryspar_dispatch_" + name)
        .help(help)
        .labelNames(labelName)
        .register(registry);
  }

  @Override
  public void onEvent(DispatchEventKind kind, String subject, Object... details) {
    EventLogger.logDecision(DecisionEvent.of(kind), subject, details);
    events.labelValues(kind.name().toLowerCase(Locale.ROOT)).inc();
  }

  @Override
  public void onGroupPlaced(int priority, long waitedMillis) {
    queueWaitSeconds
        .labelValues(String.valueOf(priority))
        .observe(Math.max(0, waitedMillis) / MILLIS_PER_SECOND);
  }

  @Override
  public void onWorkflowEnded(int priority, long durationMillis) {
    completionSeconds
        .labelValues(String.valueOf(priority))
        .observe(Math.max(0, durationMillis) / MILLIS_PER_SECOND);
  }

  /** Takes note of how long a round of decisions took. */
  void recordRound(long durationNanos) {
    roundSeconds.observe(durationNanos / NANOS_PER_SECOND);
  }

  /** Publishes what the dispatcher believes. */
  void publish(DispatcherStatus status) {
    minions.labelValues("usable").set(status.usableMinions());
    minions.labelValues("suspect").set(status.suspectMinions());
    minions.labelValues("isolated").set(status.isolatedMinions());
    minions.labelValues("draining").set(status.drainingMinions());
    groups.labelValues("waiting").set(status.waitingGroups());
    groups.labelValues("running").set(status.runningGroups());
    accelerators.labelValues("free").set((double) status.freeAccelerators());
    accelerators.labelValues("all").set((double) status.accelerators());
  }
}
