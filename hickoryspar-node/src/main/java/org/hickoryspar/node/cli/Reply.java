package org.hickoryspar.node.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/**
 * The answer of a server, or why there is none.
 *
 * @param code the exit code that follows from it
 * @param body the body; an object with {@code code} and {@code message} when the call failed
 */
record Reply(ExitCode code, JsonNode body) {

  /**
   * Returns the reply for an answer.
   *
   * @param status the HTTP status
   * @param body the body
   * @return the reply
   */
  static Reply of(int status, JsonNode body) {
    if ("unknown".equals(body.path("outcome").asText())) {
      return new Reply(ExitCode.UNKNOWN, body);
    }
    return new Reply(codeOf(status), body);
  }

  /** Returns the reply for an answer that is not JSON; the status still says what happened. */
  static Reply malformed(int status, String message) {
    ExitCode code = codeOf(status);
    return problem(code == ExitCode.DONE ? ExitCode.ERROR : code, "malformed", message);
  }

  /**
   * Returns the reply for a call without an answer.
   *
   * @param mayHaveRun true if the request may have reached the server
   * @param message what happened
   * @return the reply
   */
  static Reply missing(boolean mayHaveRun, String message) {
    return mayHaveRun
        ? problem(ExitCode.UNKNOWN, "no-answer", message)
        : problem(ExitCode.NOT_RUN, "unreachable", message);
  }

  private static Reply problem(ExitCode code, String word, String message) {
    return new Reply(
        code, JsonNodeFactory.instance.objectNode().put("code", word).put("message", message));
  }

  private static ExitCode codeOf(int status) {
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

  boolean isDone() {
    return code == ExitCode.DONE;
  }

  /** Describes a failed call in one line. */
  String message() {
    String text = body.path("message").asText(body.toString());
    String word = body.path("code").asText("");
    String line = word.isEmpty() ? text : word + ": " + text;
    if (code != ExitCode.CONFLICT || !body.has("version")) {
      return line;
    }
    return line
        + " (version "
        + body.path("version").asText()
        + " by "
        + body.path("owner").asText("?")
        + " at "
        + Output.time(body.path("timeMillis"))
        + ")";
  }
}
