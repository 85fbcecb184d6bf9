package org.hickoryspar.node.cli;

import static java.util.Objects.requireNonNull;

import java.io.PrintStream;
import java.util.Map;

/**
 * Output streams and environment variables of the process.
 *
 * @param out receives results
 * @param err receives errors and notes, separate from results that may be piped
 * @param environment environment variables
 */
record Console(PrintStream out, PrintStream err, Map<String, String> environment) {

  Console {
    requireNonNull(out, "out is null");
    requireNonNull(err, "err is null");
    environment = Map.copyOf(environment);
  }

  /**
   * Prints an error and returns its exit code.
   *
   * @param code the exit code
   * @param message description of the error
   * @return {@code code}
   */
  ExitCode fail(ExitCode code, String message) {
    err.println("hickoryspar: " + message);
    return code;
  }
}
