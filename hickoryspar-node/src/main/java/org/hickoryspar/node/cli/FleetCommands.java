package org.hickoryspar.node.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.util.List;
import java.util.Map;
import org.hickoryspar.kernel.fleet.FleetDocument;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.settings.FleetLoader;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommands;

/** The command group {@code fleet}: the declared configuration. */
final class FleetCommands extends CommandGroup {

  @Argument(required = true, metaVar = "COMMAND", handler = CommandHandler.class)
  @SubCommands({
    @SubCommand(name = "show", impl = Show.class),
    @SubCommand(name = "diff", impl = Diff.class),
    @SubCommand(name = "apply", impl = Apply.class),
    @SubCommand(name = "history", impl = History.class)
  })
  private @Nullable Command command;

  @Override
  @Nullable Command subCommand() {
    return command;
  }

  @Override
  String summary() {
    return "Shows, compares and changes the fleet document.";
  }

  /** Fetches the document in force and its version. */
  private static ApiResult fetchFleet(ServerCommand.Session session) throws InterruptedException {
    return session.client().send("GET", "/v1/fleet", Map.of(), null);
  }

  /** Compares the document in force with another; fails if the former cannot be parsed. */
  private static Result<List<String>> diff(JsonNode current, FleetDocument target) {
    return FleetDocument.from(current.path("document")).map(document -> document.diff(target));
  }

  /** Shows the document in force. */
  static final class Show extends ServerCommand {

    @Override
    String summary() {
      return "Prints the fleet document; the version goes to standard error.";
    }

    @Override
    ExitCode execute(Session session) throws InterruptedException {
      ApiResult result = fetchFleet(session);
      if (!result.isSuccess()) {
        return session.reportFailure(result);
      }
      if (session.output().isJson()) {
        session.output().print(result.body());
      } else {
        session.console().err().println("version " + result.body().path("version").asText());
        session.console().out().println(result.body().path("document").toPrettyString());
      }
      return ExitCode.DONE;
    }
  }

  /** Compares a file with the document in force. */
  static final class Diff extends ServerCommand {

    @Argument(required = true, metaVar = "FILE", usage = "the fleet document")
    private File file = new File("");

    @Option(name = "--exit-code", usage = "exit with 9 if there is a difference")
    private boolean exitCode;

    @Override
    String summary() {
      return "Compares a file with the document in force and lets the server check it.";
    }

    @Override
    ExitCode execute(Session session) throws InterruptedException {
      Result<FleetDocument> loaded = new FleetLoader().load(file.toPath());
      if (loaded instanceof Result.Failure<FleetDocument> failure) {
        return session.console().fail(ExitCode.REFUSED, failure.reason().message());
      }
      FleetDocument target = loaded.getOrElse(FleetDocument.empty());
      ApiResult fetched = fetchFleet(session);
      if (!fetched.isSuccess()) {
        return session.reportFailure(fetched);
      }
      ApiResult checked =
          session.client().send("POST", "/v1/fleet/check", Map.of(), target.toJson());
      if (!checked.isSuccess()) {
        return session.reportFailure(checked);
      }
      return diff(fetched.body(), target)
          .fold(
              problem -> session.console().fail(ExitCode.ERROR, problem.message()),
              changes -> print(session, changes));
    }

    private ExitCode print(Session session, List<String> changes) {
      if (session.output().isJson()) {
        ObjectNode result = newObject();
        changes.forEach(result.putArray("changes")::add);
        session.output().print(result);
      } else {
        changes.forEach(session.output()::printLine);
      }
      return exitCode && !changes.isEmpty() ? ExitCode.DIFFERENT : ExitCode.DONE;
    }
  }

  /** Puts a file in force. */
  static final class Apply extends ChangeCommand {

    @Argument(required = true, metaVar = "FILE", usage = "the fleet document")
    private File file = new File("");

    @Option(
        name = "--base-version",
        metaVar = "N",
        usage = "version that the file is based on; default: the version in force")
    private long baseVersion = -1;

    @Override
    String summary() {
      return "Puts a fleet document in force.";
    }

    @Override
    ExitCode apply(Session session) throws InterruptedException {
      Result<FleetDocument> loaded = new FleetLoader().load(file.toPath());
      if (loaded instanceof Result.Failure<FleetDocument> failure) {
        return session.console().fail(ExitCode.REFUSED, failure.reason().message());
      }
      FleetDocument target = loaded.getOrElse(FleetDocument.empty());
      if (baseVersion < 0) {
        ApiResult fetched = fetchFleet(session);
        if (!fetched.isSuccess()) {
          return session.reportFailure(fetched);
        }
        baseVersion = fetched.body().path("version").asLong();
        diff(fetched.body(), target).getOrElse(List.of()).forEach(session.console().err()::println);
      }
      ObjectNode body = newChangeBody().put("baseVersion", baseVersion);
      body.set("document", target.toJson());
      return send(session, "PUT", "/v1/fleet", body);
    }
  }

  /** Lists the latest changes. */
  static final class History extends ServerCommand {

    @Option(
        name = "--limit",
        metaVar = "N",
        usage = "maximum number of changes to list; default: 20")
    private int limit = 20;

    @Override
    String summary() {
      return "Lists the latest changes with owner and reason.";
    }

    @Override
    ExitCode execute(Session session) throws InterruptedException {
      ApiResult result =
          session.client().send("GET", "/v1/fleet/history?limit=" + limit, Map.of(), null);
      if (!result.isSuccess()) {
        return session.reportFailure(result);
      }
      session.output().print("changes", result.body().path("changes"));
      return ExitCode.DONE;
    }
  }
}
