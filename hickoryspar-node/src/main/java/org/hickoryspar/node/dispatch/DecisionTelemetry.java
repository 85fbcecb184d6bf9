package org.hickoryspar.node.dispatch;

import static java.util.Objects.requireNonNull;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.hickoryspar.kernel.dispatch.DispatchEventKind;
import org.hickoryspar.kernel.dispatch.DispatchListener;
import org.hickoryspar.kernel.dispatch.DispatcherStatus;
import org.hickoryspar.kernel.quota.TeamQuotaStatus;
import org.hickoryspar.kernel.runtime.KeyLevel;
import org.hickoryspar.node.observability.EventLogger;

/** Logs and counts the events of the dispatcher while this replica is the leader. */
public final class DecisionTelemetry implements DispatchListener {

  private static final double MILLIS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);
  private static final double PERCENT = 100;
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final Counter events;
  private final Histogram queueWaitSeconds;
  private final Histogram completionSeconds;
  private final Histogram roundSeconds;
  private final Gauge minions;
  private final Gauge groups;
  private final Gauge accelerators;
  private final Gauge longestIdleWaitSeconds;
  private final TeamMetrics teamMetrics;
  private final Gauge highestBacklogPressure;
  private final Gauge overloadedServices;
  private final Histogram runTimeRatio;
  private final Counter runTimePredictions;
  private final Gauge runTimeKeys;

  /**
   * Creates the telemetry of a process and registers its metrics.
   *
   * @param registry registry to add the metrics to
   */
  public DecisionTelemetry(PrometheusRegistry registry) {
    requireNonNull(registry, "registry is null");
    events =
        Counter.builder()
            .name("hickoryspar_dispatch_events_total")
            .help("Decisions of the dispatcher and changes in its view of the minions, by kind")
            .labelNames("kind")
            .register(registry);
    queueWaitSeconds =
        histogram(
            registry,
            "hickoryspar_dispatch_queue_wait_seconds",
            "Time from the due time of a group of tasks to its placement");
    completionSeconds =
        histogram(
            registry,
            "hickoryspar_dispatch_workflow_seconds",
            "Time from the acceptance of a workflow to its end");
    roundSeconds =
        Histogram.builder()
            .name("hickoryspar_dispatch_round_seconds")
            .help("Duration of one round of decisions")
            .classicUpperBounds(0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3)
            .register(registry);
    minions = gauge(registry, "minions", "Minions known to the leader, by state", "state");
    groups = gauge(registry, "groups", "Groups of tasks, by state", "state");
    accelerators =
        gauge(registry, "accelerators", "Accelerators of usable minions, by state", "state");
    longestIdleWaitSeconds =
        Gauge.builder()
            .name("hickoryspar_dispatch_longest_idle_wait_seconds")
            .help("Longest wait of a group that could start on idle capacity")
            .register(registry);
    teamMetrics = new TeamMetrics(registry);
    highestBacklogPressure =
        Gauge.builder()
            .name("hickoryspar_dispatch_highest_backlog_pressure_ratio")
            .help("Highest ratio of all services of the work that is due to the room for it")
            .register(registry);
    overloadedServices =
        Gauge.builder()
            .name("hickoryspar_dispatch_overloaded_services")
            .help("Services whose work does not fit, so that the shares of teams order it")
            .register(registry);
    runTimeRatio =
        Histogram.builder()
            .name("hickoryspar_dispatch_run_time_ratio")
            .help("Run time of a whole run in relation to the median that was expected of it")
            .labelNames("priority")
            .classicUpperBounds(0.125, 0.25, 0.5, 0.8, 1.25, 2, 4, 8)
            .register(registry);
    runTimePredictions =
        Counter.builder()
            .name("hickoryspar_dispatch_run_time_predictions_total")
            .help("Whole runs that have ended, by what their expected run time rested on")
            .labelNames("basis")
            .register(registry);
    runTimeKeys =
        Gauge.builder()
            .name("hickoryspar_dispatch_run_time_keys")
            .help("Keys by which finished runs are remembered")
            .register(registry);
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

  @Override
  public void onWholeRunEnded(int priority, KeyLevel basis, long ranMillis, long expectedMillis) {
    runTimeRatio
        .labelValues(String.valueOf(priority))
        .observe((double) ranMillis / Math.max(1, expectedMillis));
    runTimePredictions.labelValues(basis.name().toLowerCase(Locale.ROOT)).inc();
  }

  /** Records the duration of one round of decisions. */
  void recordRound(long durationNanos) {
    roundSeconds.observe(durationNanos / NANOS_PER_SECOND);
  }

  /** Sets the gauges of teams to the status of their quotas. */
  void publishTeams(List<TeamQuotaStatus> teams) {
    teamMetrics.publish(teams);
  }

  /** Sets the gauges to the status of the dispatcher. */
  void publish(DispatcherStatus status) {
    minions.labelValues("usable").set(status.usableMinions());
    minions.labelValues("suspect").set(status.suspectMinions());
    minions.labelValues("isolated").set(status.isolatedMinions());
    minions.labelValues("draining").set(status.drainingMinions());
    minions.labelValues("provisional").set(status.provisionalMinions());
    minions.labelValues("slow").set(status.slowMinions());
    groups.labelValues("waiting").set(status.waitingGroups());
    groups.labelValues("running").set(status.runningGroups());
    accelerators.labelValues("free").set((double) status.freeAccelerators());
    accelerators.labelValues("all").set((double) status.accelerators());
    longestIdleWaitSeconds.set(status.longestIdleWaitMillis() / MILLIS_PER_SECOND);
    highestBacklogPressure.set(status.highestPressurePercent() / PERCENT);
    overloadedServices.set(status.overloadedServices());
    runTimeKeys.set(status.runTimeKeys());
  }
}
