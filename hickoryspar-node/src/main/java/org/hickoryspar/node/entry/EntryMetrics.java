package org.hickoryspar.node.entry;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Metrics of the entry daemon. */
final class EntryMetrics {

  private final Counter requests;
  private final Counter retries;
  private final Counter circuitsOpened;
  private final Gauge queueLength;
  private final Gauge openCircuits;
  private final Gauge slotsInUse;
  private final Histogram requestSeconds;

  EntryMetrics(PrometheusRegistry registry) {
    requests =
        Counter.builder()
            .name("hickoryspar_requests_total")
            .help("Requests of callers by outcome")
            .labelNames("service", "outcome", "code")
            .register(registry);
    retries =
        Counter.builder()
            .name("hickoryspar_retries_total")
            .help("Further attempts, and those that the budget did not allow")
            .labelNames("service", "allowed")
            .register(registry);
    circuitsOpened =
        Counter.builder()
            .name("hickoryspar_circuits_opened_total")
            .help("How often the circuit of a minion opened")
            .labelNames("service")
            .register(registry);
    queueLength =
        Gauge.builder()
            .name("hickoryspar_queue_length")
            .help("Requests that wait for a slot")
            .labelNames("service")
            .register(registry);
    openCircuits =
        Gauge.builder()
            .name("hickoryspar_circuits_open")
            .help("Minions whose circuit is open")
            .labelNames("service")
            .register(registry);
    slotsInUse =
        Gauge.builder()
            .name("hickoryspar_slots_in_use")
            .help("Requests that run at minions")
            .labelNames("service")
            .register(registry);
    requestSeconds =
        Histogram.builder()
            .name("hickoryspar_request_seconds")
            .help("Time from the arrival of a request to its answer")
            .labelNames("service")
            .classicUpperBounds(0.005, 0.02, 0.1, 0.5, 2, 10, 60)
            .register(registry);
  }

  void recordRequest(String service, String outcome, String code, long elapsedMillis) {
    requests.labelValues(service, outcome, code).inc();
    requestSeconds.labelValues(service).observe(elapsedMillis / 1000.0);
  }

  void recordRetry(String service, boolean allowed) {
    retries.labelValues(service, allowed ? "yes" : "no").inc();
  }

  void recordCircuitOpened(String service) {
    circuitsOpened.labelValues(service).inc();
  }

  void updateGauges(String service, int queued, int openCircuitCount, int inUseCount) {
    queueLength.labelValues(service).set(queued);
    openCircuits.labelValues(service).set(openCircuitCount);
    slotsInUse.labelValues(service).set(inUseCount);
  }
}
