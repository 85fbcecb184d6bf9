package org.hickoryspar.node.control;

import static java.util.Objects.requireNonNull;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.control.ControlState;
import org.hickoryspar.protocol.GangStep;
import org.hickoryspar.protocol.JobRecord;
import org.hickoryspar.protocol.WorkerInfo;

/** Registers the metrics of a control daemon, which are read from its state at each scrape. */
public final class ControlMetrics {

  private ControlMetrics() {}

  /**
   * Registers the metrics. Their values are read on the thread of the scrape.
   *
   * @param registry registry to add the metrics to
   * @param log the replica of this instance
   * @param state the replicated state
   */
  public static void register(
      PrometheusRegistry registry, ReplicatedLog<CommandResult> log, ControlState state) {
    requireNonNull(registry, "registry is null");
    requireNonNull(log, "log is null");
    requireNonNull(state, "state is null");
    gauge("term", "Current term of the replica.", registry, () -> log.status().term());
    gauge(
        "leader",
        "1 while this replica leads and holds the leader lease.",
        registry,
        () -> log.status().holdsLease() ? 1 : 0);
    gauge("commit_index", "Highest committed index.", registry, () -> log.status().commitIndex());
    gauge(
        "log_bytes",
        "Size of the log entries that are not compacted, in bytes.",
        registry,
        () -> log.status().logBytes());
    gauge("applied_index", "Highest applied index.", registry, () -> log.status().appliedIndex());
    gauge(
        "voters",
        "Voters in the log of this replica.",
        registry,
        () -> log.status().voters().size());
    gauge("fleet_version", "Version of the fleet document.", registry, state::fleetVersion);
    gauge("claims", "Claims in the replicated state.", registry, state::claimCount);
    gauge(
        "silent_workers",
        "Workers that the platform reports as silent.",
        registry,
        () -> state.workers().stream().filter(WorkerInfo::getSilent).count());
    GaugeWithCallback.builder()
        .name("hickoryspar_control_jobs")
        .help("Jobs by phase.")
        .labelNames("phase")
        .callback(
            callback ->
                jobsByPhase(state)
                    .forEach(
                        (phase, count) ->
                            callback.call(count, phase.name().toLowerCase(Locale.ROOT))))
        .register(registry);
  }

  private static Map<GangStep.Phase, Integer> jobsByPhase(ControlState state) {
    Map<GangStep.Phase, Integer> counts = new EnumMap<>(GangStep.Phase.class);
    for (JobRecord job : state.jobs()) {
      counts.merge(job.getPhase(), 1, Integer::sum);
    }
    return counts;
  }

  private interface GaugeSource {
    double value();
  }

  private static void gauge(
      String name, String help, PrometheusRegistry registry, GaugeSource source) {
    GaugeWithCallback.builder()
        .name("hickoryspar_control_" + name)
        .help(help)
        .callback(callback -> callback.call(source.value()))
        .register(registry);
  }
}
