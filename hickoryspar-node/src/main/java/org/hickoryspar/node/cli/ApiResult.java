package org.hickoryspar.node.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/**
 * The answer of a server, or why there is none.
 *
 * @param exitCode the exit code that follows from it
 * @param body the body; an object with {@code code} and {@code message} when the call failed
 */
record ApiResult(ExitCode exitCode, JsonNode body) {

  /**
   * Returns the reply for an answer.
   *
   * @param status the HTTP status
   * @param body the body
   * @return the reply
   */
  static ApiResult of(int status, JsonNode body) {
    if ("unknown".equals(body.path("outcome").asText())) {
      return new ApiResult(ExitCode.UNKNOWN, body);
    }
    return new ApiResult(exitCodeOf(status), body);
  }

  /** Returns the reply for an answer that is not JSON; the status still says what happened. */
  static ApiResult malformed(int status, String message) {
    ExitCode code = exitCodeOf(status);
    return failure(code == ExitCode.DONE ? ExitCode.ERROR : code, "malformed", message);
  }

  /**
   * Returns the reply for a call without an answer.
   *
   * @param mayHaveRun true if the request may have reached the server
   * @param message what happened
   * @return the reply
   */
  static ApiResult withoutResponse(boolean mayHaveRun, String message) {
    return mayHaveRun
        ? failure(ExitCode.UNKNOWN, "no-answer", message)
        : failure(ExitCode.NOT_RUN, "unreachable", message);
  }

  private static ApiResult failure(ExitCode code, String problemCode, String message) {
    return new ApiResult(
        code,
        JsonNodeFactory.instance.objectNode().put("code", problemCode).put("message", message));
  }

  private static ExitCode exitCodeOf(int status) {
    if (status >= 200 && status < 300) {
      return ExitCode.DONE;
    }
    return switch (status) {
      case 400, 405, 410, 413, 422 -> ExitCode.REFUSED;
      case 401, 403 -> ExitCode.TOKEN;
      case 404 -> ExitCode.NOT_FOUND;
      case 409 -> ExitCode.CONFLICT;
      case 429, 503 -> ExitCode.NOT_RUN;
      case 504 -> ExitCode.UNKNOWN;
      default -> ExitCode.ERROR;
    };
  }

  boolean isSuccess() {
    return exitCode == ExitCode.DONE;
  }

  /** Describes a failed call in one line. */
  String message() {
    String text = body.path("message").asText(body.toString());
    String problemCode = body.path("code").asText("");
    String line = problemCode.isEmpty() ? text : problemCode + ": " + text;
    if (exitCode != ExitCode.CONFLICT || !body.has("version")) {
      return line;
    }
    return line
        + " (version "
        + body.path("version").asText()
        + " by "
        + body.path("owner").asText("?")
        + " at "
        + Output.formatTime(body.path("timeMillis"))
        + ")";
  }
}
