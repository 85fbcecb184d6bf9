package org.hickoryspar.kernel.fleet;

import static java.util.Objects.requireNonNull;

import java.util.OptionalLong;

/**
 * Limits of one service; an empty limit is inherited from the {@link FleetDefaults}.
 *
 * @param deadlineMillis deadline of a request that does not set one, in milliseconds
 * @param queueLength maximum number of queued requests in one entry
 */
public record ServiceLimits(OptionalLong deadlineMillis, OptionalLong queueLength) {

  /** The limits of a service that inherits all of them. */
  public static final ServiceLimits INHERITED =
      new ServiceLimits(OptionalLong.empty(), OptionalLong.empty());

  /** Throws {@link NullPointerException} if a component is null. */
  public ServiceLimits {
    requireNonNull(deadlineMillis, "deadlineMillis is null");
    requireNonNull(queueLength, "queueLength is null");
  }
}
