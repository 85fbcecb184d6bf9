package org.hickoryspar.node.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.kohsuke.args4j.Option;

/** A command that changes the fleet, with a reason and an identifier for resending. */
abstract class ChangeCommand extends ServerCommand {

  private static final int MAX_ATTEMPTS = 5;

  @Option(
      name = "--reason",
      required = true,
      metaVar = "TEXT",
      usage = "reason for other operators, recorded in the history")
  private String reason = "";

  @Option(
      name = "--change-id",
      metaVar = "ID",
      usage = "identifier of an earlier attempt, to resend it; default: a new one")
  private String changeId = "";

  final String reason() {
    return reason;
  }

  /** Returns a new body with the members that all changes have in common. */
  final ObjectNode newChangeBody() {
    return newObject().put("changeId", changeId).put("reason", reason);
  }

  @Override
  final ExitCode execute(Session session) throws Exception {
    if (reason.isBlank()) {
      return session.console().fail(ExitCode.REFUSED, "--reason: expected text that is not blank");
    }
    if (changeId.isBlank()) {
      changeId = ChangeIds.generate();
    }
    return apply(session);
  }

  /**
   * Sends the change.
   *
   * @param session console, client and output of this command
   * @return the exit code
   * @throws Exception if the command fails in an unexpected way
   */
  abstract ExitCode apply(Session session) throws Exception;

  /** Prints the identifier of a change, sends the change and prints the result. */
  final ExitCode send(Session session, String method, String path, ObjectNode body)
      throws InterruptedException {
    session.console().err().println("change id: " + changeId);
    return report(session, session.client().send(method, path, Map.of(), body));
  }

  /**
   * Sends a change like {@link #send}, based on the current version: if it arrives late, it cannot
   * undo a later change. Repeats it with the next version while other operators change the fleet.
   */
  final ExitCode sendBasedOnCurrentVersion(
      Session session, String method, String path, ObjectNode body) throws InterruptedException {
    session.console().err().println("change id: " + changeId);
    ApiResult result = sendOnce(session, method, path, body);
    for (int i = 1; i < MAX_ATTEMPTS && isVersionConflict(result); i++) {
      result = sendOnce(session, method, path, body);
    }
    return report(session, result);
  }

  private static ApiResult sendOnce(Session session, String method, String path, ObjectNode body)
      throws InterruptedException {
    ApiResult fleet = session.client().send("GET", "/v1/fleet", Map.of(), null);
    if (!fleet.isSuccess()) {
      return fleet;
    }
    body.put("baseVersion", fleet.body().path("version").asLong());
    return session.client().send(method, path, Map.of(), body);
  }

  private static boolean isVersionConflict(ApiResult result) {
    return result.exitCode() == ExitCode.CONFLICT
        && result.body().path("code").asText().equals("version-conflict");
  }

  private ExitCode report(Session session, ApiResult result) {
    if (result.exitCode() == ExitCode.UNKNOWN) {
      session.console().err().println("resend with --change-id " + changeId);
    }
    if (!result.isSuccess()) {
      return session.reportFailure(result);
    }
    session.output().print(result.body());
    return ExitCode.DONE;
  }
}
