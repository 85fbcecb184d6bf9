package org.hickoryspar.kernel.fleet;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** What an exception changes. */
public enum ExceptionKind {
  /** Nothing starts on the worker {@code target}; has no value. */
  WORKER_OUT("worker-out"),
  /** The team {@code target} has the quota {@code value}. */
  TEAM_QUOTA("team-quota"),
  /** The team {@code target} has the weight {@code value}. */
  TEAM_WEIGHT("team-weight"),
  /** The service {@code target} has the limits {@code value}. */
  SERVICE_LIMIT("service-limit");

  private final String code;

  ExceptionKind(String code) {
    this.code = code;
  }

  /**
   * Returns the word used in documents.
   *
   * @return the word
   */
  public String code() {
    return code;
  }

  /**
   * Finds a kind by its word.
   *
   * @param code the word
   * @return the kind, or empty when there is none
   */
  public static Optional<ExceptionKind> of(String code) {
    return Arrays.stream(values()).filter(kind -> kind.code.equals(code)).findFirst();
  }

  /**
   * Lists the words used in documents.
   *
   * @return the words, in the order of the constants
   */
  public static List<String> codes() {
    return Arrays.stream(values()).map(ExceptionKind::code).toList();
  }
}
