package org.hickoryspar.bench;

import org.hickoryspar.bench.workflow.WorkflowsCommand;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** Command line of the benchmark. */
public final class Main {

  @Argument(
      required = true,
      metaVar = "COMMAND",
      usage = "compare | slopes | decisions | messages | resident | jmh | workflows",
      handler = SubCommandHandler.class)
  @SubCommands({
    @SubCommand(name = "compare", impl = CompareCommand.class),
    @SubCommand(name = "slopes", impl = SlopesCommand.class),
    @SubCommand(name = "decisions", impl = DecisionsCommand.class),
    @SubCommand(name = "messages", impl = MessagesCommand.class),
    @SubCommand(name = "resident", impl = ResidentCommand.class),
    @SubCommand(name = "jmh", impl = JmhCommand.class),
    @SubCommand(name = "workflows", impl = WorkflowsCommand.class)
  })
  private @Nullable Command command;

  private Main() {}

  /**
   * Runs a subcommand and exits with its status, or with 2 if the command line is invalid.
   *
   * @param arguments the command line
   * @throws Exception if the command fails
   */
  public static void main(String[] arguments) throws Exception {
    Main main = new Main();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException e) {
      System.err.println(e.getMessage());
      CmdLineParser failed = e.getParser();
      (failed == null ? parser : failed).printUsage(System.err);
      System.exit(2);
    }
    if (main.command != null) {
      System.exit(main.command.run());
    }
  }
}
