package org.hickoryspar.node.control;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.control.ControlState;
import org.hickoryspar.kernel.scheduling.GuaranteeReport;
import org.hickoryspar.protocol.WorkerInfo;

/** Builds the response to an operator's request for the status of the cluster. */
final class StatusReporter {

  private final ControlState state;
  private final ReplicatedLog<CommandResult> log;
  private final SchedulingLoop scheduling;
  private final ConfigService config;
  private final JsonResponses responses;

  StatusReporter(
      ControlState state,
      ReplicatedLog<CommandResult> log,
      SchedulingLoop scheduling,
      ConfigService config,
      JsonResponses responses) {
    this.state = requireNonNull(state, "state is null");
    this.log = requireNonNull(log, "log is null");
    this.scheduling = requireNonNull(scheduling, "scheduling is null");
    this.config = requireNonNull(config, "config is null");
    this.responses = requireNonNull(responses, "responses is null");
  }

  CompletableFuture<ObjectNode> report() {
    return scheduling
        .guarantees()
        .thenCombine(
            scheduling.isolatedWorkers(),
            (guarantees, isolated) ->
                report(
                    guarantees.getOrElse(List.of()), new TreeSet<>(isolated.getOrElse(List.of()))));
  }

  private ObjectNode report(List<GuaranteeReport> guarantees, Set<String> isolated) {
    ReplicatedLog.Status status = log.status();
    ObjectNode body =
        responses
            .newObject()
            .put("leader", status.leaderId().orElse(""))
            .put("term", status.term())
            .put("fleetVersion", state.fleetVersion())
            .put("claims", state.claimCount())
            .put("jobs", state.jobs().size());
    addReplicas(body.putArray("replicas"), status);
    addGuarantees(body.putArray("guarantees"), guarantees);
    addWorkers(body.putArray("workers"), isolated);
    ArrayNode inForce = body.putArray("configInForce");
    config
        .versionsInForce()
        .forEach(
            (entry, version) -> inForce.addObject().put("entry", entry).put("version", version));
    return body;
  }

  private static void addReplicas(ArrayNode rows, ReplicatedLog.Status status) {
    Set<String> replicas = new TreeSet<>(status.voters());
    replicas.addAll(status.learners());
    for (String replica : replicas) {
      long matchIndex = status.matchIndexes().getOrDefault(replica, 0L);
      rows.addObject()
          .put("id", replica)
          .put("voter", status.voters().contains(replica))
          .put("lag", Math.max(0, status.commitIndex() - matchIndex));
    }
  }

  private static void addGuarantees(ArrayNode rows, List<GuaranteeReport> guarantees) {
    for (GuaranteeReport report : guarantees) {
      ObjectNode row =
          rows.addObject()
              .put("team", report.team())
              .put("tasks", report.shape().tasks())
              .put("acceleratorsPerTask", report.shape().perTask().accelerators())
              .put("formable", report.formable())
              .put("missing", report.missing());
      report.workers().forEach(row.putArray("workers")::add);
      report.wouldPreempt().forEach(row.putArray("wouldPreempt")::add);
    }
  }

  /** Adds only the workers that need an operator's attention. */
  private void addWorkers(ArrayNode rows, Set<String> isolated) {
    for (WorkerInfo worker : state.workers()) {
      if (worker.getSilent() || isolated.contains(worker.getId())) {
        rows.addObject()
            .put("id", worker.getId())
            .put("dataCentre", worker.getDataCentre())
            .put("problem", worker.getSilent() ? "silent" : "isolated after failed tasks");
      }
    }
  }
}
