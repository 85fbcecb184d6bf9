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

/** Serves operators' calls on the leader. */
final class OperatorService {

  /** A change that names no base version is computed again when another one comes between. */
  private static final int MAX_RACES = 10;

  private static final int MAX_SUMMARY_LINES = 3;

  private final ControlState state;
  private final Proposer proposer;
  private final SchedulingLoop scheduling;
  private final StatusReport statusReport;
  private final ReplicatedLog<CommandResult> log;
  private final JsonAnswers answers;

  OperatorService(
      ControlState state,
      Proposer proposer,
      SchedulingLoop scheduling,
      StatusReport statusReport,
      ReplicatedLog<CommandResult> log,
      JsonAnswers answers) {
    this.state = requireNonNull(state, "state is null");
    this.proposer = requireNonNull(proposer, "proposer is null");
    this.scheduling = requireNonNull(scheduling, "scheduling is null");
    this.statusReport = requireNonNull(statusReport, "statusReport is null");
    this.log = requireNonNull(log, "log is null");
    this.answers = requireNonNull(answers, "answers is null");
  }

  CompletableFuture<OperatorResult> handle(OperatorCall call) {
    Result<JsonNode> body =
        call.getBodyJson().isEmpty()
            ? Result.success(answers.object())
            : answers.read(call.getBodyJson());
    return body.fold(problem -> done(answers.operator(problem)), json -> handle(call, json));
  }

  private CompletableFuture<OperatorResult> handle(OperatorCall call, JsonNode body) {
    return switch (call.getKind()) {
      case FLEET_GET -> done(fleet());
      case FLEET_CHECK -> FleetDocument.from(body).fold(this::refused, this::check);
      case FLEET_HISTORY -> done(history(body));
      case STATUS -> statusReport.build().thenApply(this::ok);
      case FLEET_APPLY, EXCEPTION_ADD, EXCEPTION_END, DATA_CENTRE_OUT, DATA_CENTRE_IN ->
          change(call, body, MAX_RACES);
      case REPLICA_ADD ->
          replicas(
              log.addVoter(
                  body.path("replicaId").asText(),
                  Optional.of(body.path("replaces").asText()).filter(id -> !id.isEmpty())));
      case REPLICA_REMOVE -> replicas(log.removeReplica(body.path("replicaId").asText()));
      case TRANSFER_LEADERSHIP -> replicas(log.transferLeadership());
      default -> refused(Problem.of("malformed", "unknown kind of operator call"));
    };
  }

  private CompletableFuture<OperatorResult> replicas(CompletableFuture<Result<String>> change) {
    return change.thenApply(
        result -> result.fold(answers::operator, text -> ok(answers.object().put("result", text))));
  }

  private OperatorResult ok(ObjectNode body) {
    return answers.operator(JsonAnswers.OK, body);
  }

  private OperatorResult fleet() {
    ControlState.FleetVersion current = state.fleet();
    ObjectNode body = answers.object().put("version", current.version());
    body.set("document", current.document());
    return ok(body);
  }

  private CompletableFuture<OperatorResult> check(FleetDocument document) {
    return scheduling
        .check(document.toSchedulingConfig(state.fleetVersion(), proposer.wallClockMillis()))
        .thenApply(
            result ->
                result.fold(answers::operator, version -> ok(answers.object().put("ok", true))));
  }

  private OperatorResult history(JsonNode body) {
    List<FleetHistoryEntry> entries = state.fleetHistory();
    int limit = body.path("limit").asInt(entries.size());
    ObjectNode result = answers.object();
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

  private CompletableFuture<OperatorResult> change(
      OperatorCall call, JsonNode body, int racesLeft) {
    if (call.getChangeId().isBlank()) {
      return refused(Problem.of("malformed", "changeId: expected an identifier of the change"));
    }
    if (call.getOwner().isBlank()) {
      return refused(Problem.of("malformed", "the change has no owner"));
    }
    Optional<Long> known = state.versionOfChange(call.getChangeId());
    if (known.isPresent()) {
      return done(changed(known.get(), call.getChangeId()));
    }
    ControlState.FleetVersion base = state.fleet();
    if (call.getKind() == OperatorCall.Kind.FLEET_APPLY
        && call.getBaseVersion() != base.version()) {
      return done(conflict(call.getBaseVersion()));
    }
    Result<FleetDocument> target =
        FleetDocument.from(base.document()).flatMap(current -> target(call, body, current));
    return target.fold(
        this::refused, document -> checkAndPropose(call, body, base, document, racesLeft));
  }

  private Result<FleetDocument> target(OperatorCall call, JsonNode body, FleetDocument current) {
    String reason = body.path("reason").asText("");
    return switch (call.getKind()) {
      case FLEET_APPLY -> FleetDocument.from(body.path("document"));
      case EXCEPTION_ADD ->
          current.withException(body, call.getOwner(), proposer.wallClockMillis());
      case EXCEPTION_END -> current.withoutException(body.path("id").asText());
      default -> {
        boolean out = call.getKind() == OperatorCall.Kind.DATA_CENTRE_OUT;
        yield out && reason.isBlank()
            ? Result.failure("malformed", "reason: expected why the data centre is taken out")
            : current.withDataCentre(body.path("name").asText(), out, call.getOwner(), reason);
      }
    };
  }

  private CompletableFuture<OperatorResult> checkAndPropose(
      OperatorCall call,
      JsonNode body,
      ControlState.FleetVersion base,
      FleetDocument target,
      int racesLeft) {
    boolean mustHold = call.getKind() == OperatorCall.Kind.FLEET_APPLY;
    // Taking a data centre out is never refused: what it breaks is reported instead.
    CompletableFuture<Result<Long>> checked =
        mustHold
            ? scheduling.check(
                target.toSchedulingConfig(base.version(), proposer.wallClockMillis()))
            : CompletableFuture.completedFuture(Result.success(base.version()));
    return checked.thenCompose(
        result ->
            result.fold(this::refused, version -> propose(call, body, base, target, racesLeft)));
  }

  private CompletableFuture<OperatorResult> propose(
      OperatorCall call,
      JsonNode body,
      ControlState.FleetVersion base,
      FleetDocument target,
      int racesLeft) {
    FleetDocument current = FleetDocument.from(base.document()).getOrElse(FleetDocument.empty());
    List<String> lines = current.diff(target);
    FleetChange change =
        FleetChange.newBuilder()
            .setChangeId(call.getChangeId())
            .setOwner(call.getOwner())
            .setReason(body.path("reason").asText(""))
            .setBaseVersion(base.version())
            .setMergePatchJson(ByteString.copyFrom(current.patchTo(target)))
            .setSummary(summary(lines))
            .build();
    return proposer
        .propose(Command.newBuilder().setFleetChange(change))
        .thenCompose(
            result ->
                result.fold(
                    this::refused, applied -> proposed(call, body, change, applied, racesLeft)));
  }

  private CompletableFuture<OperatorResult> proposed(
      OperatorCall call, JsonNode body, FleetChange change, CommandResult result, int racesLeft) {
    if (result instanceof CommandResult.FleetAccepted accepted) {
      EventLogger.log(
          ControlEvent.FLEET_CHANGED,
          accepted.version(),
          change.getOwner(),
          change.getSummary(),
          change.getReason());
      return done(changed(accepted.version(), change.getChangeId()));
    }
    if (result instanceof CommandResult.FleetConflict) {
      return call.getKind() != OperatorCall.Kind.FLEET_APPLY && racesLeft > 0
          ? change(call, body, racesLeft - 1)
          : done(conflict(change.getBaseVersion()));
    }
    return refused(
        result instanceof CommandResult.Refused refused
            ? refused.problem()
            : Problem.of("unknown", "unexpected result " + result));
  }

  private OperatorResult conflict(long baseVersion) {
    List<FleetHistoryEntry> history = state.fleetHistory();
    FleetHistoryEntry last =
        history.isEmpty()
            ? FleetHistoryEntry.getDefaultInstance()
            : history.get(history.size() - 1);
    String owner = last.getChange().getOwner();
    ObjectNode answer =
        answers
            .object()
            .put("code", "version-conflict")
            .put(
                "message",
                String.format(
                    "the current version is %d by %s, the change names %d",
                    last.getVersion(), owner, baseVersion))
            .put("version", last.getVersion())
            .put("owner", owner)
            .put("timeMillis", last.getTimeMillis());
    return answers.operator(JsonAnswers.CONFLICT, answer);
  }

  private OperatorResult changed(long version, String changeId) {
    return ok(answers.object().put("version", version).put("changeId", changeId));
  }

  private static String summary(List<String> lines) {
    if (lines.isEmpty()) {
      return "no difference";
    }
    String shown = String.join("; ", lines.subList(0, Math.min(MAX_SUMMARY_LINES, lines.size())));
    int more = lines.size() - MAX_SUMMARY_LINES;
    return more > 0 ? shown + "; and " + more + " more" : shown;
  }

  private CompletableFuture<OperatorResult> refused(Problem problem) {
    return done(answers.operator(problem));
  }

  private static CompletableFuture<OperatorResult> done(OperatorResult result) {
    return CompletableFuture.completedFuture(result);
  }
}
