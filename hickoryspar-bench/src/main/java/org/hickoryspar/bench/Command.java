package org.hickoryspar.bench;

/** A subcommand of the benchmark. Its options are fields that args4j sets from the command line. */
public interface Command {

  /**
   * Executes the subcommand with the parsed options.
   *
   * @return the exit status of the process
   * @throws Exception if the subcommand fails
   */
  int run() throws Exception;
}
