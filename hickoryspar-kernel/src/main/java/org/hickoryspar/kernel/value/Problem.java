package org.hickoryspar.kernel.value;

import static java.util.Objects.requireNonNull;

/**
 * An expected failure, described by a stable code and a human-readable message.
 *
 * @param code the stable, machine-readable code, for example {@code "not-leader"}
 * @param message what went wrong and, where possible, what was expected
 */
public record Problem(String code, String message) {

  /**
   * Rejects missing components.
   *
   * @throws NullPointerException if a component is null
   */
  public Problem {
    requireNonNull(code, "code is null");
    requireNonNull(message, "message is null");
  }

  /**
   * Returns a problem with the given code and message.
   *
   * @param code the stable code
   * @param message the message
   * @return a new problem
   */
  public static Problem of(String code, String message) {
    return new Problem(code, message);
  }

  @Override
  public String toString() {
    return code + ": " + message;
  }
}
