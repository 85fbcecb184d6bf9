package org.hickoryspar.node.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.net.UrlEscapers;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommands;

/** The command group {@code job}; its commands require the token of a team. */
final class JobCommands extends CommandGroup {

  @Argument(required = true, metaVar = "COMMAND", handler = CommandHandler.class)
  @SubCommands({
    @SubCommand(name = "submit", impl = Submit.class),
    @SubCommand(name = "status", impl = Status.class),
    @SubCommand(name = "cancel", impl = Cancel.class),
    @SubCommand(name = "list", impl = ListJobs.class)
  })
  private @Nullable Command command;

  @Override
  @Nullable Command subCommand() {
    return command;
  }

  @Override
  String summary() {
    return "Submits, shows, lists and cancels jobs of a team.";
  }

  /** Submits a job. */
  static final class Submit extends ServerCommand {

    @Argument(required = true, metaVar = "FILE", usage = "the job as JSON; - for standard input")
    private String file = "";

    @Option(
        name = "--change-id",
        metaVar = "ID",
        usage = "identifier of an earlier attempt, to resend it; default: a new one")
    private String changeId = "";

    @Override
    String summary() {
      return "Submits a job.";
    }

    @Override
    ExitCode execute(Session session) throws InterruptedException {
      JsonNode job;
      try {
        String text =
            "-".equals(file)
                ? new String(System.in.readAllBytes(), StandardCharsets.UTF_8)
                : Files.readString(Path.of(file));
        job = JsonMapper.builder().build().readTree(text);
      } catch (JsonProcessingException e) {
        return session
            .console()
            .fail(ExitCode.REFUSED, file + ": expected JSON, " + e.getOriginalMessage());
      } catch (IOException e) {
        return session
            .console()
            .fail(ExitCode.REFUSED, file + ": expected a readable file, found " + e);
      }
      if (changeId.isBlank()) {
        changeId = ChangeIds.generate();
      }
      session.console().err().println("change id: " + changeId);
      ApiResult result =
          session.client().send("POST", "/v1/jobs", Map.of("Idempotency-Key", changeId), job);
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

  /** Shows one job. */
  static final class Status extends ServerCommand {

    @Argument(required = true, metaVar = "ID", usage = "identifier of the job")
    private String id = "";

    @Override
    String summary() {
      return "Shows a job and, while it waits, the reason.";
    }

    @Override
    ExitCode execute(Session session) throws InterruptedException {
      return getAndPrint(session, "/v1/jobs/" + escapeSegment(id));
    }
  }

  /** Cancels one job. */
  static final class Cancel extends ServerCommand {

    @Argument(required = true, metaVar = "ID", usage = "identifier of the job")
    private String id = "";

    @Override
    String summary() {
      return "Cancels a job; safe to repeat.";
    }

    @Override
    ExitCode execute(Session session) throws InterruptedException {
      ApiResult result =
          session.client().send("DELETE", "/v1/jobs/" + escapeSegment(id), Map.of(), null);
      if (!result.isSuccess()) {
        return session.reportFailure(result);
      }
      session.output().print(result.body());
      return ExitCode.DONE;
    }
  }

  /** Lists jobs. */
  static final class ListJobs extends ServerCommand {

    @Option(name = "--team", metaVar = "NAME", usage = "the team; default: the token's team")
    private String team = "";

    @Override
    String summary() {
      return "Lists jobs.";
    }

    @Override
    ExitCode execute(Session session) throws InterruptedException {
      String query =
          team.isBlank() ? "" : "?team=" + UrlEscapers.urlFormParameterEscaper().escape(team);
      ApiResult result = session.client().send("GET", "/v1/jobs" + query, Map.of(), null);
      if (!result.isSuccess()) {
        return session.reportFailure(result);
      }
      JsonNode body = result.body();
      session.output().print("jobs", body.isArray() ? body : body.path("jobs"));
      return ExitCode.DONE;
    }
  }
}
