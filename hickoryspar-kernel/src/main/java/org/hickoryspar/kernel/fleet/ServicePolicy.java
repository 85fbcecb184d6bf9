package org.hickoryspar.kernel.fleet;

import static java.util.Objects.requireNonNull;

import java.util.OptionalLong;

/**
 * Limits of one service; an empty one is that of the fleet.
 *
 * @param deadlineMillis deadline of a request that names none
 * @param queueLength most requests that wait in one entry
 */
public record ServicePolicy(OptionalLong deadlineMillis, OptionalLong queueLength) {

  /** A service without limits of its own. */
  public static final ServicePolicy STANDARD =
      new ServicePolicy(OptionalLong.empty(), OptionalLong.empty());

  /** Checks the components. */
  public ServicePolicy {
    requireNonNull(deadlineMillis, "deadlineMillis is null");
    requireNonNull(queueLength, "queueLength is null");
  }
}
