package org.hickoryspar.node.cli;

import java.io.PrintStream;
import java.lang.reflect.Field;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommands;

/** The program {@code hickoryspar}: daemons, validation of files and operator commands. */
public final class Main {

  private final Console console;

  /**
   * Creates a program with its own streams and environment.
   *
   * @param out receives results
   * @param err receives errors
   * @param environment environment variables
   */
  public Main(PrintStream out, PrintStream err, Map<String, String> environment) {
    this.console = new Console(out, err, environment);
  }

  /**
   * Runs one command and exits with its exit code.
   *
   * @param arguments the command line
   */
  public static void main(String[] arguments) {
    int code = new Main(System.out, System.err, System.getenv()).run(arguments);
    System.out.flush();
    System.exit(code);
  }

  /**
   * Runs one command; failures are printed and result in an exit code.
   *
   * @param arguments the command line
   * @return the exit code
   */
  public int run(String... arguments) {
    Root root = new Root();
    try {
      CommandHandler.parserFor(root).parseArgument(arguments);
      Command command = root.selectedCommand();
      if (command.isHelpRequested()) {
        printHelp(console.out(), usageName(root, arguments), command);
        return ExitCode.DONE.number();
      }
      return command.run(console).number();
    } catch (CmdLineException e) {
      ExitCode code = console.fail(ExitCode.USAGE, String.valueOf(e.getMessage()));
      console.err().println("See --help.");
      return code.number();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return console.fail(ExitCode.ERROR, "interrupted").number();
    } catch (Exception e) {
      return console.fail(ExitCode.ERROR, e.toString()).number();
    }
  }

  /** Returns the part of the command line that selects the command, for the usage line. */
  private static String usageName(CommandGroup root, String... arguments) {
    StringBuilder name = new StringBuilder("hickoryspar");
    Command command = root;
    for (String argument : arguments) {
      if (!(command instanceof CommandGroup group) || group.subCommand() == null) {
        break;
      }
      name.append(' ').append(argument);
      command = group.subCommand();
    }
    return name.toString();
  }

  private static void printHelp(PrintStream out, String name, Command command) {
    out.println(command.summary());
    SubCommands subCommands = findSubCommands(command.getClass());
    if (subCommands == null) {
      CmdLineParser parser = CommandHandler.parserFor(command);
      out.print("usage: " + name);
      parser.printSingleLineUsage(out);
      out.println();
      parser.printUsage(out);
      return;
    }
    out.println("commands:");
    for (SubCommand subCommand : subCommands.value()) {
      Command subCommandInstance = (Command) CommandHandler.create(subCommand.impl());
      out.printf("  %-16s %s%n", subCommand.name(), subCommandInstance.summary());
    }
  }

  private static @Nullable SubCommands findSubCommands(Class<?> type) {
    for (Field field : type.getDeclaredFields()) {
      SubCommands subCommands = field.getAnnotation(SubCommands.class);
      if (subCommands != null) {
        return subCommands;
      }
    }
    return null;
  }

  /** The top level of the command line. */
  static final class Root extends CommandGroup {

    @Argument(required = true, metaVar = "COMMAND", handler = CommandHandler.class)
    @SubCommands({
      @SubCommand(name = "entry", impl = EntryCommand.class),
      @SubCommand(name = "control", impl = ControlCommand.class),
      @SubCommand(name = "check-settings", impl = CheckSettingsCommand.class),
      @SubCommand(name = "fleet", impl = FleetCommands.class),
      @SubCommand(name = "exception", impl = ExceptionCommands.class),
      @SubCommand(name = "data-centre", impl = DataCentreCommands.class),
      @SubCommand(name = "job", impl = JobCommands.class),
      @SubCommand(name = "status", impl = StatusCommand.class),
      @SubCommand(name = "explain", impl = ExplainCommand.class)
    })
    private @Nullable Command command;

    @Override
    @Nullable Command subCommand() {
      return command;
    }

    @Override
    String summary() {
      return "hickoryspar schedules multi-accelerator jobs under team guarantees.";
    }
  }
}
