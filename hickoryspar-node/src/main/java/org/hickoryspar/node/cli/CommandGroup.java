package org.hickoryspar.node.cli;

import org.jspecify.annotations.Nullable;

/** A command that only holds sub-commands. */
abstract class CommandGroup extends Command {

  /**
   * Returns the sub-command on the command line.
   *
   * @return the sub-command, or null when none was given
   */
  abstract @Nullable Command subCommand();

  @Override
  final Command selectedCommand() {
    Command subCommand = subCommand();
    return subCommand == null || isHelpRequested() ? this : subCommand.selectedCommand();
  }

  @Override
  final ExitCode run(Console console) {
    throw new IllegalStateException("a group of commands cannot run");
  }
}
