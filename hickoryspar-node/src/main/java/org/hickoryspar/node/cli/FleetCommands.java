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

/** The group {@code fleet}: the declared configuration. */
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

  /** Reads the document in force. */
  private static Reply current(ServerCommand.Session session) throws InterruptedException {
    return session.client().send("GET", "/v1/fleet", Map.of(), null);
  }

  /** Compares the document in force with another; fails when the server's cannot be read. */
  private static Result<List<String>> difference(JsonNode current, FleetDocument target) {
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
      Reply reply = current(session);
      if (!reply.isDone()) {
        return session.failed(reply);
      }
      if (session.output().isJson()) {
        session.output().print(reply.body());
      } else {
        session.console().err().println("version " + reply.body().path("version").asText());
        session.console().out().println(reply.body().path("document").toPrettyString());
      }
      return ExitCode.DONE;
    }
  }

  /** Compares a file with the document in force. */
  static final class Diff extends ServerCommand {

    @Argument(required = true, metaVar = "FILE", usage = "the fleet document")
    private File file = new File("");

    @Option(name = "--exit-code", usage = "exit with 9 when there is a difference")
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
      Reply reply = current(session);
      if (!reply.isDone()) {
        return session.failed(reply);
      }
      Reply check = session.client().send("POST", "/v1/fleet/check", Map.of(), target.toJson());
      if (!check.isDone()) {
        return session.failed(check);
      }
      return difference(reply.body(), target)
          .fold(
              problem -> session.console().fail(ExitCode.ERROR, problem.message()),
              lines -> print(session, lines));
    }

    private ExitCode print(Session session, List<String> lines) {
      if (session.output().isJson()) {
        ObjectNode result = object();
        lines.forEach(result.putArray("changes")::add);
        session.output().print(result);
      } else {
        lines.forEach(session.output()::line);
      }
      return exitCode && !lines.isEmpty() ? ExitCode.DIFFERENT : ExitCode.DONE;
    }
  }

  /** Puts a file in force. */
  static final class Apply extends ChangeCommand {

    @Argument(required = true, metaVar = "FILE", usage = "the fleet document")
    private File file = new File("");

    @Option(
        name = "--base-version",
        metaVar = "N",
        usage = "version that the file was made from; default: the version in force")
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
        Reply reply = current(session);
        if (!reply.isDone()) {
          return session.failed(reply);
        }
        baseVersion = reply.body().path("version").asLong();
        difference(reply.body(), target)
            .getOrElse(List.of())
            .forEach(session.console().err()::println);
      }
      ObjectNode body = change().put("baseVersion", baseVersion);
      body.set("document", target.toJson());
      return send(session, "PUT", "/v1/fleet", body);
    }
  }

  /** Lists changes. */
  static final class History extends ServerCommand {

    @Option(name = "--limit", metaVar = "N", usage = "most changes to list; default: 20")
    private int limit = 20;

    @Override
    String summary() {
      return "Lists the latest changes with owner and reason.";
    }

    @Override
    ExitCode execute(Session session) throws InterruptedException {
      Reply reply =
          session.client().send("GET", "/v1/fleet/history?limit=" + limit, Map.of(), null);
      if (!reply.isDone()) {
        return session.failed(reply);
      }
      session.output().print("changes", reply.body().path("changes"));
      return ExitCode.DONE;
    }
  }
}
