package org.hickoryspar.bench;

/** A sub-command whose options args4j has set. */
public interface Command {

  /**
   * Runs the command.
   *
   * @return the exit status of the process
   * @throws Exception if the command fails
   */
  int run() throws Exception;
}
