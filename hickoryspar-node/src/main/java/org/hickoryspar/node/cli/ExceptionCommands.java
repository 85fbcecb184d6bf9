package org.hickoryspar.node.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommands;

/** The command group {@code exception}: overrides of the defaults of the fleet document. */
final class ExceptionCommands extends CommandGroup {

  @Argument(required = true, metaVar = "COMMAND", handler = CommandHandler.class)
  @SubCommands({
    @SubCommand(name = "add", impl = Add.class),
    @SubCommand(name = "list", impl = ListExceptions.class),
    @SubCommand(name = "end", impl = End.class)
  })
  private @Nullable Command command;

  @Override
  @Nullable Command subCommand() {
    return command;
  }

  @Override
  String summary() {
    return "Adds, lists and ends exceptions to the defaults.";
  }

  /** Adds an exception. */
  static final class Add extends ChangeCommand {

    @Option(name = "--id", required = true, metaVar = "ID", usage = "identifier of the exception")
    private String id = "";

    @Option(
        name = "--kind",
        required = true,
        metaVar = "KIND",
        usage = "worker-out, team-quota, team-weight or service-limit")
    private String kind = "";

    @Option(
        name = "--target",
        required = true,
        metaVar = "NAME",
        usage = "the worker, team or service")
    private String target = "";

    @Option(
        name = "--value",
        metaVar = "JSON",
        usage = "value that replaces the default; none for worker-out")
    private String value = "";

    @Option(
        name = "--ends",
        metaVar = "TIME",
        usage =
            "end as ISO 8601: a time (2026-12-24T18:00:00Z) or a duration (PT4H); default: none")
    private String ends = "";

    @Override
    String summary() {
      return "Adds an exception with a reason and, optionally, an end.";
    }

    @Override
    ExitCode apply(Session session) throws InterruptedException {
      ObjectNode body = newChangeBody().put("id", id).put("kind", kind).put("target", target);
      try {
        if (!value.isBlank()) {
          body.set("value", JsonMapper.builder().build().readTree(value));
        }
        if (!ends.isBlank()) {
          body.put("endsMillis", endsMillis(ends, Instant.now()));
        }
      } catch (JsonProcessingException e) {
        return session
            .console()
            .fail(ExitCode.REFUSED, "--value: expected JSON, " + e.getOriginalMessage());
      } catch (DateTimeException e) {
        return session
            .console()
            .fail(ExitCode.REFUSED, "--ends: expected a time or a duration, found " + ends);
      }
      return sendBasedOnCurrentVersion(session, "POST", "/v1/exceptions", body);
    }

    private static long endsMillis(String text, Instant now) {
      return (text.startsWith("P") ? now.plus(Duration.parse(text)) : Instant.parse(text))
          .toEpochMilli();
    }
  }

  /** Lists exceptions. */
  static final class ListExceptions extends ServerCommand {

    @Override
    String summary() {
      return "Lists the exceptions with owner and reason.";
    }

    @Override
    ExitCode execute(Session session) throws InterruptedException {
      ApiResult result = session.client().send("GET", "/v1/fleet", Map.of(), null);
      if (!result.isSuccess()) {
        return session.reportFailure(result);
      }
      ArrayNode rows = JsonNodeFactory.instance.arrayNode();
      JsonNode exceptions = result.body().path("document").path("exceptions");
      for (Map.Entry<String, JsonNode> entry : exceptions.properties()) {
        ObjectNode row = rows.addObject().put("id", entry.getKey());
        entry
            .getValue()
            .properties()
            .forEach(member -> row.set(member.getKey(), member.getValue()));
      }
      session.output().print("exceptions", rows);
      return ExitCode.DONE;
    }
  }

  /** Ends an exception. */
  static final class End extends ChangeCommand {

    @Argument(required = true, metaVar = "ID", usage = "identifier of the exception")
    private String id = "";

    @Override
    String summary() {
      return "Ends an exception.";
    }

    @Override
    ExitCode apply(Session session) throws InterruptedException {
      return sendBasedOnCurrentVersion(
          session, "DELETE", "/v1/exceptions/" + escapeSegment(id), newChangeBody());
    }
  }
}
