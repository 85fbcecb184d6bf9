package org.hickoryspar.node.dispatch;

import static java.util.Objects.requireNonNull;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.WorkflowCall;
import org.hickoryspar.protocol.WorkflowReply;

/**
 * Logs and counts the workflow calls that a process sends to the leader. Successful status queries
 * are counted but not logged, because callers poll the status often. Thread-safe.
 */
public final class CallTelemetry implements CallListener {

  private static final WorkflowReply.Outcome UNKNOWN = WorkflowReply.Outcome.UNKNOWN;
  private static final double MILLIS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);

  private final Counter calls;
  private final Counter retries;
  private final Histogram durationSeconds;

  /**
   * Creates the telemetry of a process and registers its metrics.
   *
   * @param registry registry to add the metrics to
   */
  public CallTelemetry(PrometheusRegistry registry) {
    requireNonNull(registry, "registry is null");
    calls =
        Counter.builder()
            .name("hickoryspar_workflow_calls_total")
            .help("Workflow calls by kind and outcome")
            .labelNames("kind", "outcome")
            .register(registry);
    retries =
        Counter.builder()
            .name("hickoryspar_workflow_call_repetitions_total")
            .help("Retries of workflow calls to the leader")
            .labelNames("kind")
            .register(registry);
    durationSeconds =
        Histogram.builder()
            .name("hickoryspar_workflow_call_seconds")
            .help("Time from the arrival of a workflow call to its result")
            .labelNames("kind")
            .classicUpperBounds(0.01, 0.03, 0.1, 0.3, 1, 3, 10)
            .register(registry);
  }

  @Override
  public void onCallEnded(Envelope call, Result<Envelope> result, CallSummary summary) {
    if (!call.hasWorkflowCall()) {
      return;
    }
    WorkflowCall workflowCall = call.getWorkflowCall();
    String kind = workflowCall.getKindCase().name().toLowerCase(Locale.ROOT);
    WorkflowReply.Outcome outcome =
        result.map(response -> response.getWorkflowReply().getOutcome()).getOrElse(UNKNOWN);
    calls.labelValues(kind, outcome.name().toLowerCase(Locale.ROOT)).inc();
    retries.labelValues(kind).inc(Math.max(0, summary.attempts() - 1));
    durationSeconds.labelValues(kind).observe(summary.durationMillis() / MILLIS_PER_SECOND);
    boolean isStatusQuery = workflowCall.hasStatus();
    if (!isStatusQuery || outcome == UNKNOWN) {
      log(workflowCall, kind, outcome, result, summary);
    }
  }

  private static void log(
      WorkflowCall call,
      String kind,
      WorkflowReply.Outcome outcome,
      Result<Envelope> result,
      CallSummary summary) {
    String path = call.getPath();
    EventLogger.logDecision(
        DispatchLogEvent.CALL_ENDED,
        path.substring(path.lastIndexOf('/') + 1),
        "kind",
        kind,
        "outcome",
        outcome,
        "reason",
        result.fold(
            problem -> problem.message(), response -> response.getWorkflowReply().getReason()),
        "attempts",
        summary.attempts(),
        "lastProblem",
        summary.lastProblem(),
        "leader",
        summary.leader(),
        "term",
        summary.term(),
        "tookMillis",
        summary.durationMillis(),
        "host",
        call.getHost(),
        "path",
        path);
  }
}
