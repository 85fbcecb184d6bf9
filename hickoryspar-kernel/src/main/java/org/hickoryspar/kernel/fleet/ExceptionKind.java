package org.hickoryspar.kernel.fleet;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** The kind of a {@link FleetException}, which determines its target and the type of its value. */
public enum ExceptionKind {
  /** Takes the worker {@code target} out of service, so that nothing starts on it; no value. */
  WORKER_OUT("worker-out"),
  /** Sets the quota of the team {@code target} to {@code value}. */
  TEAM_QUOTA("team-quota"),
  /** Sets the weight of the team {@code target} to {@code value}. */
  TEAM_WEIGHT("team-weight"),
  /** Sets the limits of the service {@code target} to {@code value}. */
  SERVICE_LIMIT("service-limit");

  private final String code;

  ExceptionKind(String code) {
    this.code = code;
  }

  /**
   * Returns the code of the kind in fleet documents.
   *
   * @return the code, for example {@code "worker-out"}
   */
  public String code() {
    return code;
  }

  /**
   * Returns the kind with a code.
   *
   * @param code the code in fleet documents
   * @return the kind, or empty if the code is unknown
   */
  public static Optional<ExceptionKind> of(String code) {
    return Arrays.stream(values()).filter(kind -> kind.code.equals(code)).findFirst();
  }

  /**
   * Returns the codes of all kinds.
   *
   * @return the codes, in the order of the constants
   */
  public static List<String> codes() {
    return Arrays.stream(values()).map(ExceptionKind::code).toList();
  }
}
