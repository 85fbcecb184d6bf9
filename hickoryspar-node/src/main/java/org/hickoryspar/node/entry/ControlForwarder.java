package org.hickoryspar.node.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.node.http.CallerConnection;
import org.hickoryspar.node.settings.Settings.TokenSettings;
import org.hickoryspar.protocol.JobCall;
import org.hickoryspar.protocol.OperatorCall;

/** Forwards the job calls and operator calls of HTTP clients to control. */
final class ControlForwarder {

  /** Longer than an election (2 s), so that a call survives a change of the leader. */
  private static final long TIMEOUT_MILLIS = 10_000;

  private final ControlLink control;

  ControlForwarder(ControlLink control) {
    this.control = control;
  }

  /** Forwards a call under {@code /v1/jobs} and responds with its result. */
  void forwardJobCall(
      TokenSettings token,
      Request request,
      List<String> path,
      byte[] body,
      Response response,
      Callback callback) {
    JobCall.Builder call = JobCall.newBuilder().setTeam(token.name());
    String idempotencyKey = request.getHeaders().get("Idempotency-Key");
    boolean hasJobId = path.size() == 3;
    switch (request.getMethod() + (hasJobId ? " job" : "")) {
      case "POST" -> {
        if (idempotencyKey == null || !isObject(body)) {
          Responses.sendError(
              response,
              callback,
              400,
              "not-run",
              "malformed",
              "Idempotency-Key or a JSON object as body is missing");
          return;
        }
        call.setKind(JobCall.Kind.SUBMIT)
            .setIdempotencyKey(idempotencyKey)
            .setBodyJson(ByteString.copyFrom(body));
      }
      case "GET" -> {
        call.setKind(JobCall.Kind.LIST);
        if (token.kind().equals(TokenAuthenticator.OPERATOR)) {
          String team = Request.extractQueryParameters(request).getValue("team");
          call.setTeam(team == null ? "" : team);
        }
      }
      case "GET job" -> call.setKind(JobCall.Kind.STATUS).setJobId(path.get(2));
      case "DELETE job" -> call.setKind(JobCall.Kind.CANCEL).setJobId(path.get(2));
      default -> {
        Responses.sendError(
            response, callback, 405, "not-run", "method", "the path does not support this method");
        return;
      }
    }
    var unused =
        control
            .job(call.build(), traceParent(request), TIMEOUT_MILLIS)
            .thenAccept(
                result ->
                    result.fold(
                        problem ->
                            respondFailure(
                                problem,
                                call.getKind() == JobCall.Kind.LIST
                                    || call.getKind() == JobCall.Kind.STATUS,
                                response,
                                callback),
                        jobResult ->
                            respond(
                                jobResult.getHttpStatus(),
                                jobResult.getBodyJson(),
                                response,
                                callback)));
  }

  /** Forwards an operator call and responds with its result. */
  void forwardOperatorCall(
      TokenSettings token,
      Request request,
      List<String> path,
      byte[] body,
      Response response,
      Callback callback) {
    Optional<OperatorCall.Kind> kind = operatorCallKind(request.getMethod(), path);
    Optional<ObjectNode> arguments = parseArguments(request, path, body);
    if (kind.isEmpty()) {
      Responses.sendError(
          response, callback, 404, "not-run", "no-such-call", "no such operator call");
      return;
    }
    if (arguments.isEmpty() || !isVersionOrMissing(arguments.get().path("baseVersion"))) {
      Responses.sendError(
          response,
          callback,
          400,
          "not-run",
          "malformed",
          "baseVersion or the JSON body is malformed");
      return;
    }
    if (!isReadOnly(kind.get()) && !CallerConnection.of(request, response).isOpen()) {
      // The operator may have sent it elsewhere and replaced it since.
      Responses.sendError(
          response, callback, 503, "not-run", "abandoned", "the operator no longer waits");
      return;
    }
    OperatorCall call =
        OperatorCall.newBuilder()
            .setKind(kind.get())
            .setOwner(token.name())
            .setChangeId(arguments.get().path("changeId").asText(""))
            .setBaseVersion(arguments.get().path("baseVersion").asLong())
            .setBodyJson(ByteString.copyFrom(Responses.toBytes(arguments.get())))
            .build();
    var unused =
        control
            .operator(call, traceParent(request), TIMEOUT_MILLIS)
            .thenAccept(
                result ->
                    result.fold(
                        problem ->
                            respondFailure(problem, isReadOnly(call.getKind()), response, callback),
                        operatorResult ->
                            respond(
                                operatorResult.getHttpStatus(),
                                operatorResult.getBodyJson(),
                                response,
                                callback)));
  }

  private static Optional<OperatorCall.Kind> operatorCallKind(String method, List<String> path) {
    String resource = path.size() > 1 ? path.get(1) : "";
    String lastSegment = path.size() > 2 ? path.get(path.size() - 1) : "";
    return Optional.ofNullable(
        switch (method + " " + resource) {
          case "GET fleet" ->
              lastSegment.equals("history")
                  ? OperatorCall.Kind.FLEET_HISTORY
                  : path.size() == 2 ? OperatorCall.Kind.FLEET_GET : null;
          case "PUT fleet" -> path.size() == 2 ? OperatorCall.Kind.FLEET_APPLY : null;
          case "POST fleet" -> lastSegment.equals("check") ? OperatorCall.Kind.FLEET_CHECK : null;
          case "POST exceptions" -> OperatorCall.Kind.EXCEPTION_ADD;
          case "DELETE exceptions" -> OperatorCall.Kind.EXCEPTION_END;
          case "POST data-centres" ->
              path.size() != 4
                  ? null
                  : switch (lastSegment) {
                    case "out" -> OperatorCall.Kind.DATA_CENTRE_OUT;
                    case "in" -> OperatorCall.Kind.DATA_CENTRE_IN;
                    default -> null;
                  };
          case "POST replicas" -> OperatorCall.Kind.REPLICA_ADD;
          case "DELETE replicas" -> OperatorCall.Kind.REPLICA_REMOVE;
          case "POST leadership" -> OperatorCall.Kind.TRANSFER_LEADERSHIP;
          case "GET status" -> OperatorCall.Kind.STATUS;
          default -> null;
        });
  }

  private static boolean isReadOnly(OperatorCall.Kind kind) {
    return switch (kind) {
      case FLEET_GET, FLEET_CHECK, FLEET_HISTORY, STATUS -> true;
      default -> false;
    };
  }

  /**
   * Returns the JSON body with the name or id of the path and the limit of the query added, or
   * empty if the body is not a JSON object.
   */
  private static Optional<ObjectNode> parseArguments(
      Request request, List<String> path, byte[] body) {
    JsonNode json;
    try {
      json =
          body.length == 0 ? Responses.MAPPER.createObjectNode() : Responses.MAPPER.readTree(body);
    } catch (IOException e) {
      return Optional.empty();
    }
    if (!(json instanceof ObjectNode object)) {
      return Optional.empty();
    }
    if (path.size() > 2 && path.get(1).equals("data-centres")) {
      object.put("name", path.get(2));
    } else if (path.size() > 2 && path.get(1).equals("exceptions")) {
      object.put("id", path.get(2));
    }
    String limit = Request.extractQueryParameters(request).getValue("limit");
    if (limit != null && limit.matches("\\d{1,9}")) {
      object.put("limit", Integer.parseInt(limit));
    }
    return Optional.of(object);
  }

  private static boolean isVersionOrMissing(JsonNode value) {
    return value.isMissingNode() || (value.canConvertToLong() && value.asLong() >= 0);
  }

  private static String traceParent(Request request) {
    String value = request.getHeaders().get("traceparent");
    return value == null ? "" : value;
  }

  private static boolean isObject(byte[] body) {
    try {
      return Responses.MAPPER.readTree(body) instanceof ObjectNode;
    } catch (IOException e) {
      return false;
    }
  }

  /** Responds not-run if the call was not sent or only reads; any other may have taken effect. */
  private static boolean respondFailure(
      Problem problem, boolean readOnly, Response response, Callback callback) {
    boolean notRun = readOnly || problem.code().equals("unavailable");
    Responses.sendError(
        response,
        callback,
        notRun ? 503 : 504,
        notRun ? "not-run" : "unknown",
        problem.code(),
        problem.message());
    return false;
  }

  private static boolean respond(
      int status, ByteString body, Response response, Callback callback) {
    Responses.sendJson(response, callback, status, body.toByteArray());
    return true;
  }
}
