package org.hickoryspar.node.cli;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommands;

/** The command group {@code data-centre}. */
final class DataCentreCommands extends CommandGroup {

  @Argument(required = true, metaVar = "COMMAND", handler = CommandHandler.class)
  @SubCommands({
    @SubCommand(name = "out", impl = Out.class),
    @SubCommand(name = "in", impl = In.class)
  })
  private @Nullable Command command;

  @Override
  @Nullable Command subCommand() {
    return command;
  }

  @Override
  String summary() {
    return "Takes data centres out of service and returns them.";
  }

  /** Takes a data centre out of service. */
  static final class Out extends ChangeCommand {

    @Argument(required = true, metaVar = "NAME", usage = "the data centre")
    private String name = "";

    @Override
    String summary() {
      return "Takes a data centre out of service: nothing new starts in it.";
    }

    @Override
    ExitCode apply(Session session) throws InterruptedException {
      return sendBasedOnCurrentVersion(
          session, "POST", "/v1/data-centres/" + escapeSegment(name) + "/out", newChangeBody());
    }
  }

  /** Returns a data centre to service. */
  static final class In extends ChangeCommand {

    @Argument(required = true, metaVar = "NAME", usage = "the data centre")
    private String name = "";

    @Override
    String summary() {
      return "Returns a data centre to service.";
    }

    @Override
    ExitCode apply(Session session) throws InterruptedException {
      return sendBasedOnCurrentVersion(
          session, "POST", "/v1/data-centres/" + escapeSegment(name) + "/in", newChangeBody());
    }
  }
}
