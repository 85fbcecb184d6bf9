package org.hickoryspar.node.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.kohsuke.args4j.Option;

/** A command that changes the fleet: it has a reason and an identifier for resending. */
abstract class ChangeCommand extends ServerCommand {

  @Option(
      name = "--reason",
      required = true,
      metaVar = "TEXT",
      usage = "why, for other operators; kept in the history")
  private String reason = "";

  @Option(
      name = "--change-id",
      metaVar = "ID",
      usage = "identifier of an earlier attempt, to resend it; default: a new one")
  private String changeId = "";

  /** Returns the reason. */
  final String reason() {
    return reason;
  }

  /** Returns a body with the members that every change has. */
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
   * Makes the change.
   *
   * @param session the connection to the server
   * @return the exit code
   * @throws Exception if the command fails in an unexpected way
   */
  abstract ExitCode apply(Session session) throws Exception;

  /** Sends a change, with its identifier printed before, and reports the answer. */
  final ExitCode send(Session session, String method, String path, ObjectNode body)
      throws InterruptedException {
    session.console().err().println("change id: " + changeId);
    ApiResult result = session.client().send(method, path, Map.of(), body);
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
