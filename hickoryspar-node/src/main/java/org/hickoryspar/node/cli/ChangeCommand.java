package org.hickoryspar.node.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import org.kohsuke.args4j.Option;

/** A command that changes the fleet, with a reason and an identifier for resending. */
abstract class ChangeCommand extends ServerCommand {

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
