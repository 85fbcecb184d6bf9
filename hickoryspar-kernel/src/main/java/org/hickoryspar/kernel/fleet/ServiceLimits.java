package org.hickoryspar.kernel.fleet;

import static java.util.Objects.requireNonNull;

import java.util.OptionalLong;

/**
 * Limits of one service; an empty one is that of the fleet.
 *
 * @param deadlineMillis deadline of a request that names none
 * @param queueLength most requests that wait in one entry
 */
public record ServiceLimits(OptionalLong deadlineMillis, OptionalLong queueLength) {

  /** A service without limits of its own. */
  public static final ServiceLimits INHERITED =
      new ServiceLimits(OptionalLong.empty(), OptionalLong.empty());

  /** Checks the components. */
  public ServiceLimits {
    requireNonNull(deadlineMillis, "deadlineMillis is null");
    requireNonNull(queueLength, "queueLength is null");
  }
}
