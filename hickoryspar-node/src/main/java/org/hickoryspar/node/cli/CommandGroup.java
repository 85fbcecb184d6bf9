package org.hickoryspar.node.cli;

import org.jspecify.annotations.Nullable;

/** A command that consists of sub-commands and cannot be run itself. */
abstract class CommandGroup extends Command {

  /**
   * Returns the sub-command on the command line.
   *
   * @return the sub-command, or null if none was given
   */
  abstract @Nullable Command subCommand();

  @Override
  final Command selectedCommand() {
    Command subCommand = subCommand();
    return subCommand == null || isHelpRequested() ? this : subCommand.selectedCommand();
  }

  @Override
  final ExitCode run(Console console) {
    throw new IllegalStateException("a command group cannot be run");
  }
}
