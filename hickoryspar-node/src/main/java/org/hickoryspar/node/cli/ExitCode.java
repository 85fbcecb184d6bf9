package org.hickoryspar.node.cli;

/** Exit codes, documented for scripts in {@code docs/operators.md}. */
enum ExitCode {
  /** The command did what it was asked to do. */
  DONE(0),
  /** An unexpected error, or an answer that does not follow the interface. */
  ERROR(1),
  /** The command line is wrong. */
  USAGE(2),
  /** The file, the document or the request is invalid. */
  REFUSED(3),
  /** Another change was made first. */
  CONFLICT(4),
  /** The named thing does not exist. */
  NOT_FOUND(5),
  /** The token is missing, unknown or not allowed to do this. */
  TOKEN(6),
  /** Nothing was changed: the server could not be reached or declined. */
  NOT_RUN(7),
  /** The request was sent and no answer arrived: it may have taken effect. */
  UNKNOWN(8),
  /** A comparison found a difference and was asked to say so. */
  DIFFERENT(9);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /**
   * Returns the number that the process exits with.
   *
   * @return the number
   */
  int number() {
    return number;
  }
}
