package org.hickoryspar.node.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/**
 * The result of an API call: the response of the server, or the reason why there is none.
 *
 * @param exitCode exit code of the command
 * @param body body of the response; an object with {@code code} and {@code message} if the call
 *     failed
 */
record ApiResult(ExitCode exitCode, JsonNode body) {

  /**
   * Creates the result of a response in JSON.
   *
   * @param status the HTTP status
   * @param body the body
   * @return the result
   */
  static ApiResult of(int status, JsonNode body) {
    if ("unknown".equals(body.path("outcome").asText())) {
      return new ApiResult(ExitCode.UNKNOWN, body);
    }
    return new ApiResult(exitCodeOf(status), body);
  }

  /**
   * Creates the result of a response that is not JSON. The exit code follows from the status,
   * except that a successful status results in {@link ExitCode#ERROR}.
   */
  static ApiResult malformed(int status, String message) {
    ExitCode exitCode = exitCodeOf(status);
    return failure(exitCode == ExitCode.DONE ? ExitCode.ERROR : exitCode, "malformed", message);
  }

  /**
   * Creates the result of a call without response.
   *
   * @param mayHaveRun whether the server may have received and executed the request
   * @param message description of the error
   * @return the result
   */
  static ApiResult withoutResponse(boolean mayHaveRun, String message) {
    return mayHaveRun
        ? failure(ExitCode.UNKNOWN, "no-answer", message)
        : failure(ExitCode.NOT_RUN, "unreachable", message);
  }

  private static ApiResult failure(ExitCode exitCode, String problemCode, String message) {
    return new ApiResult(
        exitCode,
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

  /** Describes a failed call in one line; for a conflict, with the change that was accepted. */
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
