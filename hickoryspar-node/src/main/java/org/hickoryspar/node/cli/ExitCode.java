package org.hickoryspar.node.cli;

/** Exit codes, documented for scripts in {@code docs/operators.md}. */
enum ExitCode {
  /** The command succeeded. */
  DONE(0),
  /** An unexpected error, or a response that violates the interface. */
  ERROR(1),
  /** The command line is wrong. */
  USAGE(2),
  /** The file, the document or the request is invalid. */
  REFUSED(3),
  /** Another change was accepted first. */
  CONFLICT(4),
  /** The named object does not exist. */
  NOT_FOUND(5),
  /** The token is missing, unknown or lacks permission. */
  TOKEN(6),
  /** Nothing was changed: the server was unreachable, overloaded or unavailable. */
  NOT_RUN(7),
  /** The request was sent, but its outcome is unknown: it may have taken effect. */
  UNKNOWN(8),
  /** A comparison with {@code --exit-code} found a difference. */
  DIFFERENT(9);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /**
   * Returns the exit status of the process.
   *
   * @return the number
   */
  int number() {
    return number;
  }
}
