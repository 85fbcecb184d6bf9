package org.hickoryspar.node.cli;

import org.kohsuke.args4j.Option;

/** One sub-command; args4j fills the fields. */
abstract class Command {

  @Option(name = "--help", aliases = "-h", help = true, usage = "show this help and exit")
  private boolean help;

  /**
   * Returns the command that the arguments chose: this one or one of its sub-commands.
   *
   * @return the chosen command
   */
  Command selectedCommand() {
    return this;
  }

  /**
   * Returns whether the user asked for help.
   *
   * @return true after {@code --help}
   */
  final boolean isHelpRequested() {
    return help;
  }

  /**
   * Describes the command in one line.
   *
   * @return the line shown in the help
   */
  abstract String summary();

  /**
   * Runs the command.
   *
   * @param console streams and environment
   * @return the exit code
   * @throws Exception if the command fails in an unexpected way
   */
  abstract ExitCode run(Console console) throws Exception;
}
