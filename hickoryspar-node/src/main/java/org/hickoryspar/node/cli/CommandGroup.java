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
  final Command chosen() {
    Command subCommand = subCommand();
    return subCommand == null || isHelpWanted() ? this : subCommand.chosen();
  }

  @Override
  final ExitCode run(Console console) {
    throw new IllegalStateException("a group of commands cannot run");
  }
}
