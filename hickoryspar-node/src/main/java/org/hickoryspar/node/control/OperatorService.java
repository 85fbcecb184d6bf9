package org.hickoryspar.node.control;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.control.ControlState;
import org.hickoryspar.kernel.fleet.FleetDocument;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.protocol.Command;
import org.hickoryspar.protocol.FleetChange;
import org.hickoryspar.protocol.FleetHistoryEntry;
import org.hickoryspar.protocol.OperatorCall;
import org.hickoryspar.protocol.OperatorResult;

/** Serves the calls of operators on the leader. */
final class OperatorService {

  /** How often a change without a base version is computed again after a conflict. */
  private static final int MAX_CONFLICT_RETRIES = 10;

  private static final int MAX_SUMMARY_LINES = 3;

  private final ControlState state;
  private final Proposer proposer;
  private final SchedulingLoop scheduling;
  private final StatusReporter statusReporter;
  private final ReplicatedLog<CommandResult> log;
  private final JsonResponses responses;

  OperatorService(
      ControlState state,
      Proposer proposer,
      SchedulingLoop scheduling,
      StatusReporter statusReporter,
      ReplicatedLog<CommandResult> log,
      JsonResponses responses) {
    this.state = requireNonNull(state, "state is null");
    this.proposer = requireNonNull(proposer, "proposer is null");
    this.scheduling = requireNonNull(scheduling, "scheduling is null");
    this.statusReporter = requireNonNull(statusReporter, "statusReporter is null");
    this.log = requireNonNull(log, "log is null");
    this.responses = requireNonNull(responses, "responses is null");
  }

  CompletableFuture<OperatorResult> handle(OperatorCall call) {
    Result<JsonNode> body =
        call.getBodyJson().isEmpty()
            ? Result.success(responses.newObject())
            : responses.parseObject(call.getBodyJson());
    return body.fold(
        problem -> completed(responses.operatorResult(problem)), json -> handle(call, json));
  }

  private CompletableFuture<OperatorResult> handle(OperatorCall call, JsonNode body) {
    return switch (call.getKind()) {
      case FLEET_GET -> completed(fleetResponse());
      case FLEET_CHECK -> FleetDocument.from(body).fold(this::failure, this::checkFleet);
      case FLEET_HISTORY -> completed(historyResponse(body));
      case STATUS -> statusReporter.report().thenApply(this::ok);
      case FLEET_APPLY, EXCEPTION_ADD, EXCEPTION_END, DATA_CENTRE_OUT, DATA_CENTRE_IN ->
          changeFleet(call, body, MAX_CONFLICT_RETRIES);
      case REPLICA_ADD ->
          toOperatorResult(
              log.addVoter(
                  body.path("replicaId").asText(),
                  Optional.of(body.path("replaces").asText()).filter(id -> !id.isEmpty())));
      case REPLICA_REMOVE -> toOperatorResult(log.removeReplica(body.path("replicaId").asText()));
      case TRANSFER_LEADERSHIP -> toOperatorResult(log.transferLeadership());
      default -> failure(Problem.of("malformed", "unknown kind of operator call"));
    };
  }

  private CompletableFuture<OperatorResult> toOperatorResult(
      CompletableFuture<Result<String>> change) {
    return change.thenApply(
        result ->
            result.fold(
                responses::operatorResult, text -> ok(responses.newObject().put("result", text))));
  }

  private OperatorResult ok(ObjectNode body) {
    return responses.operatorResult(JsonResponses.OK, body);
  }

  private OperatorResult fleetResponse() {
    ControlState.FleetVersion current = state.fleet();
    ObjectNode body = responses.newObject().put("version", current.version());
    body.set("document", current.document());
    return ok(body);
  }

  private CompletableFuture<OperatorResult> checkFleet(FleetDocument document) {
    return scheduling
        .check(document.toSchedulingConfig(state.fleetVersion(), proposer.wallClockMillis()))
        .thenApply(
            result ->
                result.fold(
                    responses::operatorResult,
                    version -> ok(responses.newObject().put("ok", true))));
  }

  private OperatorResult historyResponse(JsonNode body) {
    List<FleetHistoryEntry> entries = state.fleetHistory();
    int limit = body.path("limit").asInt(entries.size());
    ObjectNode result = responses.newObject();
    ArrayNode rows = result.putArray("changes");
    for (int i = entries.size() - 1; i >= Math.max(0, entries.size() - limit); i--) {
      FleetChange change = entries.get(i).getChange();
      rows.addObject()
          .put("version", entries.get(i).getVersion())
          .put("changeId", change.getChangeId())
          .put("owner", change.getOwner())
          .put("reason", change.getReason())
          .put("summary", change.getSummary())
          .put("timeMillis", entries.get(i).getTimeMillis());
    }
    return ok(result);
  }

  private CompletableFuture<OperatorResult> changeFleet(
      OperatorCall call, JsonNode body, int remainingRetries) {
    if (call.getChangeId().isBlank()) {
      return failure(Problem.of("malformed", "changeId: expected an identifier of the change"));
    }
    if (call.getOwner().isBlank()) {
      return failure(Problem.of("malformed", "the change has no owner"));
    }
    Optional<Long> existingVersion = state.versionOfChange(call.getChangeId());
    if (existingVersion.isPresent()) {
      return completed(versionResponse(existingVersion.get(), call.getChangeId()));
    }
    ControlState.FleetVersion base = state.fleet();
    if (namesBaseVersion(call, body) && call.getBaseVersion() != base.version()) {
      return completed(conflictResponse(call.getBaseVersion()));
    }
    Result<FleetDocument> target =
        FleetDocument.from(base.document()).flatMap(current -> buildTarget(call, body, current));
    return target.fold(
        this::failure, document -> checkAndPropose(call, body, base, document, remainingRetries));
  }

  // Other changes may name the version that their operator has seen, so that a late one cannot undo
  // what came after it.
  private static boolean namesBaseVersion(OperatorCall call, JsonNode body) {
    return call.getKind() == OperatorCall.Kind.FLEET_APPLY || body.has("baseVersion");
  }

  private Result<FleetDocument> buildTarget(
      OperatorCall call, JsonNode body, FleetDocument current) {
    String reason = body.path("reason").asText("");
    return switch (call.getKind()) {
      case FLEET_APPLY -> FleetDocument.from(body.path("document"));
      case EXCEPTION_ADD ->
          current.withException(body, call.getOwner(), proposer.wallClockMillis());
      case EXCEPTION_END -> current.withoutException(body.path("id").asText());
      default -> {
        boolean out = call.getKind() == OperatorCall.Kind.DATA_CENTRE_OUT;
        yield out && reason.isBlank()
            ? Result.failure(
                "malformed",
                "reason: expected the reason for taking the data centre out of service")
            : current.withDataCentre(body.path("name").asText(), out, call.getOwner(), reason);
      }
    };
  }

  private CompletableFuture<OperatorResult> checkAndPropose(
      OperatorCall call,
      JsonNode body,
      ControlState.FleetVersion base,
      FleetDocument target,
      int remainingRetries) {
    boolean requiresCheck = call.getKind() == OperatorCall.Kind.FLEET_APPLY;
    // Taking a data centre out is never refused; broken guarantees are reported instead.
    CompletableFuture<Result<Long>> checkResult =
        requiresCheck
            ? scheduling.check(
                target.toSchedulingConfig(base.version(), proposer.wallClockMillis()))
            : CompletableFuture.completedFuture(Result.success(base.version()));
    return checkResult.thenCompose(
        result ->
            result.fold(
                this::failure, version -> propose(call, body, base, target, remainingRetries)));
  }

  private CompletableFuture<OperatorResult> propose(
      OperatorCall call,
      JsonNode body,
      ControlState.FleetVersion base,
      FleetDocument target,
      int remainingRetries) {
    FleetDocument current = FleetDocument.from(base.document()).getOrElse(FleetDocument.empty());
    List<String> lines = current.diff(target);
    FleetChange change =
        FleetChange.newBuilder()
            .setChangeId(call.getChangeId())
            .setOwner(call.getOwner())
            .setReason(body.path("reason").asText(""))
            .setBaseVersion(base.version())
            .setMergePatchJson(ByteString.copyFrom(current.patchTo(target)))
            .setSummary(summarize(lines))
            .build();
    return proposer
        .propose(Command.newBuilder().setFleetChange(change))
        .thenCompose(
            result ->
                result.fold(
                    this::failure,
                    applied ->
                        handleProposalResult(call, body, change, applied, remainingRetries)));
  }

  private CompletableFuture<OperatorResult> handleProposalResult(
      OperatorCall call,
      JsonNode body,
      FleetChange change,
      CommandResult result,
      int remainingRetries) {
    if (result instanceof CommandResult.FleetAccepted accepted) {
      EventLogger.log(
          ControlEvent.FLEET_CHANGED,
          accepted.version(),
          change.getOwner(),
          change.getSummary(),
          change.getReason());
      return completed(versionResponse(accepted.version(), change.getChangeId()));
    }
    if (result instanceof CommandResult.FleetConflict) {
      return call.getKind() != OperatorCall.Kind.FLEET_APPLY && remainingRetries > 0
          ? changeFleet(call, body, remainingRetries - 1)
          : completed(conflictResponse(change.getBaseVersion()));
    }
    return failure(
        result instanceof CommandResult.Refused refused
            ? refused.problem()
            : Problem.of("unknown", "unexpected result " + result));
  }

  private OperatorResult conflictResponse(long baseVersion) {
    List<FleetHistoryEntry> history = state.fleetHistory();
    FleetHistoryEntry last =
        history.isEmpty()
            ? FleetHistoryEntry.getDefaultInstance()
            : history.get(history.size() - 1);
    String owner = last.getChange().getOwner();
    ObjectNode response =
        responses
            .newObject()
            .put("code", "version-conflict")
            .put(
                "message",
                String.format(
                    "the current version is %d by %s, but the change is based on version %d",
                    last.getVersion(), owner, baseVersion))
            .put("version", last.getVersion())
            .put("owner", owner)
            .put("timeMillis", last.getTimeMillis());
    return responses.operatorResult(JsonResponses.CONFLICT, response);
  }

  private OperatorResult versionResponse(long version, String changeId) {
    return ok(responses.newObject().put("version", version).put("changeId", changeId));
  }

  private static String summarize(List<String> lines) {
    if (lines.isEmpty()) {
      return "no difference";
    }
    String shown = String.join("; ", lines.subList(0, Math.min(MAX_SUMMARY_LINES, lines.size())));
    int omittedCount = lines.size() - MAX_SUMMARY_LINES;
    return omittedCount > 0 ? shown + "; and " + omittedCount + " more" : shown;
  }

  private CompletableFuture<OperatorResult> failure(Problem problem) {
    return completed(responses.operatorResult(problem));
  }

  private static CompletableFuture<OperatorResult> completed(OperatorResult result) {
    return CompletableFuture.completedFuture(result);
  }
}
