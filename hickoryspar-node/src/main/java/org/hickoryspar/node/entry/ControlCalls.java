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
import org.eclipse.jetty.util.Fields;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.node.settings.Settings.TokenSettings;
import org.hickoryspar.protocol.JobCall;
import org.hickoryspar.protocol.OperatorCall;

/** Passes job calls and operator calls to control. */
final class ControlCalls {

  /** Longer than an election (2 s), so that a call outlives a change of the leader. */
  private static final long DEADLINE_MILLIS = 10_000;

  private final ControlLink control;

  ControlCalls(ControlLink control) {
    this.control = control;
  }

  /** Serves a call below {@code /v1/jobs}. */
  void job(
      TokenSettings token,
      Request request,
      List<String> path,
      byte[] body,
      Response response,
      Callback done) {
    JobCall.Builder call = JobCall.newBuilder().setTeam(token.name());
    String key = request.getHeaders().get("Idempotency-Key");
    boolean one = path.size() == 3;
    switch (request.getMethod() + (one ? " one" : "")) {
      case "POST" -> {
        if (key == null || !isObject(body)) {
          Replies.error(
              response, done, 400, "not-run", "malformed", "needs Idempotency-Key and a JSON body");
          return;
        }
        call.setKind(JobCall.Kind.SUBMIT)
            .setIdempotencyKey(key)
            .setBodyJson(ByteString.copyFrom(body));
      }
      case "GET" -> {
        call.setKind(JobCall.Kind.LIST);
        if (token.kind().equals(Credentials.OPERATOR)) {
          String team = Request.extractQueryParameters(request).getValue("team");
          call.setTeam(team == null ? "" : team);
        }
      }
      case "GET one" -> call.setKind(JobCall.Kind.STATUS).setJobId(path.get(2));
      case "DELETE one" -> call.setKind(JobCall.Kind.CANCEL).setJobId(path.get(2));
      default -> {
        Replies.error(response, done, 405, "not-run", "method", "method not supported here");
        return;
      }
    }
    var unused =
        control
            .job(call.build(), traceParent(request), DEADLINE_MILLIS)
            .thenAccept(
                result ->
                    result.fold(
                        problem ->
                            fail(
                                problem,
                                call.getKind() == JobCall.Kind.LIST
                                    || call.getKind() == JobCall.Kind.STATUS,
                                response,
                                done),
                        answer ->
                            reply(answer.getHttpStatus(), answer.getBodyJson(), response, done)));
  }

  /** Serves an operator's call. */
  void operator(
      TokenSettings token,
      Request request,
      List<String> path,
      byte[] body,
      Response response,
      Callback done) {
    Optional<OperatorCall.Kind> kind = kind(request.getMethod(), path);
    Optional<Long> base = baseVersion(request);
    Optional<byte[]> argument = argument(path, body);
    if (kind.isEmpty()) {
      Replies.error(response, done, 404, "not-run", "no-such-call", "no such operator call");
      return;
    }
    if (base.isEmpty() || argument.isEmpty()) {
      Replies.error(
          response, done, 400, "not-run", "malformed", "base version or JSON body is malformed");
      return;
    }
    OperatorCall call =
        OperatorCall.newBuilder()
            .setKind(kind.get())
            .setOwner(token.name())
            .setChangeId(parameter(request, "Hickoryspar-Change-Id", "changeId"))
            .setBaseVersion(base.get())
            .setBodyJson(ByteString.copyFrom(argument.get()))
            .build();
    var unused =
        control
            .operator(call, traceParent(request), DEADLINE_MILLIS)
            .thenAccept(
                result ->
                    result.fold(
                        problem -> fail(problem, isRead(call.getKind()), response, done),
                        answer ->
                            reply(answer.getHttpStatus(), answer.getBodyJson(), response, done)));
  }

  private static Optional<OperatorCall.Kind> kind(String method, List<String> path) {
    String first = path.size() > 1 ? path.get(1) : "";
    String last = path.size() > 2 ? path.get(path.size() - 1) : "";
    return Optional.ofNullable(
        switch (method + " " + first) {
          case "GET fleet" ->
              last.equals("history")
                  ? OperatorCall.Kind.FLEET_HISTORY
                  : path.size() == 2 ? OperatorCall.Kind.FLEET_GET : null;
          case "PUT fleet" -> path.size() == 2 ? OperatorCall.Kind.FLEET_APPLY : null;
          case "POST fleet" -> last.equals("check") ? OperatorCall.Kind.FLEET_CHECK : null;
          case "POST exceptions" -> OperatorCall.Kind.EXCEPTION_ADD;
          case "DELETE exceptions" -> OperatorCall.Kind.EXCEPTION_END;
          case "POST data-centres" ->
              path.size() != 4
                  ? null
                  : switch (last) {
                    case "out" -> OperatorCall.Kind.DATA_CENTRE_OUT;
                    case "in" -> OperatorCall.Kind.DATA_CENTRE_IN;
                    default -> null;
                  };
          case "GET status" -> OperatorCall.Kind.STATUS;
          default -> null;
        });
  }

  private static boolean isRead(OperatorCall.Kind kind) {
    return switch (kind) {
      case FLEET_GET, FLEET_CHECK, FLEET_HISTORY, STATUS -> true;
      default -> false;
    };
  }

  /** Returns the body; a name in the path becomes its member {@code name}. */
  private static Optional<byte[]> argument(List<String> path, byte[] body) {
    boolean named =
        path.size() > 2 && (path.get(1).equals("data-centres") || path.get(1).equals("exceptions"));
    if (!named) {
      return body.length == 0 || isObject(body) ? Optional.of(body) : Optional.empty();
    }
    try {
      JsonNode json = body.length == 0 ? null : Replies.MAPPER.readTree(body);
      ObjectNode object =
          json == null
              ? Replies.MAPPER.createObjectNode()
              : json instanceof ObjectNode o ? o : null;
      return object == null
          ? Optional.empty()
          : Optional.of(Replies.bytes(object.put("name", path.get(2))));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  private static Optional<Long> baseVersion(Request request) {
    String text = parameter(request, "Hickoryspar-Base-Version", "baseVersion");
    try {
      return Optional.of(text.isEmpty() ? 0L : Long.parseUnsignedLong(text));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  private static String parameter(Request request, String header, String query) {
    String value = request.getHeaders().get(header);
    if (value == null) {
      Fields fields = Request.extractQueryParameters(request);
      value = fields.getValue(query);
    }
    return value == null ? "" : value;
  }

  private static String traceParent(Request request) {
    String value = request.getHeaders().get("traceparent");
    return value == null ? "" : value;
  }

  private static boolean isObject(byte[] body) {
    try {
      return Replies.MAPPER.readTree(body) instanceof ObjectNode;
    } catch (IOException e) {
      return false;
    }
  }

  /** A call that was not sent, or that only reads, changed nothing; any other may have. */
  private static boolean fail(Problem problem, boolean read, Response response, Callback done) {
    boolean notRun = read || problem.code().equals("unavailable");
    Replies.error(
        response,
        done,
        notRun ? 503 : 504,
        notRun ? "not-run" : "unknown",
        problem.code(),
        problem.message());
    return false;
  }

  private static boolean reply(int status, ByteString body, Response response, Callback done) {
    Replies.json(response, done, status, body.toByteArray());
    return true;
  }
}
