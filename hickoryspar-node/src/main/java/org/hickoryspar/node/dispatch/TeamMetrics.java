package org.hickoryspar.node.dispatch;

import static java.util.Objects.requireNonNull;

import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.hickoryspar.kernel.quota.LimitedResource;
import org.hickoryspar.kernel.quota.TeamQuotaStatus;

/** Gauges of the use and the quota of each team of the catalog. */
final class TeamMetrics {

  private final Gauge inUse;
  private final Gauge quota;
  private final Gauge dominantShare;
  private final Set<String> publishedTeams = new HashSet<>();

  /** Creates the gauges and registers them. */
  TeamMetrics(PrometheusRegistry registry) {
    requireNonNull(registry, "registry is null");
    inUse =
        gauge(
            registry,
            "team_in_use",
            "What a team may have running: cores in thousandths, megabytes, accelerators",
            "team",
            "resource");
    quota =
        gauge(
            registry,
            "team_quota",
            "The most that a team may have running; 0 is no limit",
            "team",
            "resource");
    dominantShare =
        gauge(
            registry,
            "team_dominant_share",
            "Largest share of the capacity of all minions that a team uses of any resource",
            "team");
  }

  private static Gauge gauge(
      PrometheusRegistry registry, String name, String help, String... labelNames) {
    return Gauge.builder()
        .name("hickoryspar_dispatch_" + name)
        .help(help)
        .labelNames(labelNames)
        .register(registry);
  }

  /** Sets the gauges, and removes those of teams that have left the catalog. */
  void publish(List<TeamQuotaStatus> teams) {
    Set<String> goneTeams = new HashSet<>(publishedTeams);
    for (TeamQuotaStatus status : teams) {
      goneTeams.remove(status.team());
      publishedTeams.add(status.team());
      dominantShare.labelValues(status.team()).set(status.dominantShare());
      for (LimitedResource resource : LimitedResource.values()) {
        String label = labelOf(resource);
        inUse.labelValues(status.team(), label).set((double) resource.amountIn(status.inUse()));
        quota.labelValues(status.team(), label).set((double) resource.amountIn(status.quota()));
      }
    }
    goneTeams.forEach(this::remove);
    publishedTeams.removeAll(goneTeams);
  }

  private void remove(String team) {
    dominantShare.remove(team);
    for (LimitedResource resource : LimitedResource.values()) {
      inUse.remove(team, labelOf(resource));
      quota.remove(team, labelOf(resource));
    }
  }

  private static String labelOf(LimitedResource resource) {
    return resource.name().toLowerCase(Locale.ROOT);
  }
}
