package org.hickoryspar.node.cli;

import org.kohsuke.args4j.Option;

/** A sub-command; args4j sets its fields from the arguments. */
abstract class Command {

  @Option(name = "--help", aliases = "-h", help = true, usage = "show this help and exit")
  private boolean help;

  /**
   * Returns the command selected by the arguments: this one or one of its sub-commands.
   *
   * @return the selected command
   */
  Command selectedCommand() {
    return this;
  }

  /**
   * Returns whether help was requested.
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
