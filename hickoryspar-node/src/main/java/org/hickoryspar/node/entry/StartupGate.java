package org.hickoryspar.node.entry;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Decides when an entry is ready for callers after its start.
 *
 * <p>Without the configuration and the endpoints, an entry would reject requests that another entry
 * could serve. Once open, the gate stays open: without a control leader the load balancer would
 * otherwise remove all entries at the same time, and callers would receive no response at all.
 */
final class StartupGate {

  /** Time after which the fleet is assumed to be empty; minions announce themselves every 3 s. */
  static final long MAX_ENDPOINT_WAIT_MILLIS = 5_000;

  /** Time after which an entry without a configuration lease reports this to callers itself. */
  static final long MAX_LEASE_WAIT_MILLIS = 15_000;

  private final BooleanSupplier hasConfigLease;
  private final BooleanSupplier hasEndpoints;
  private final LongSupplier monotonicMillis;
  private final long startMillis;
  private final AtomicBoolean open = new AtomicBoolean();

  StartupGate(
      BooleanSupplier hasConfigLease, BooleanSupplier hasEndpoints, LongSupplier monotonicMillis) {
    this.hasConfigLease = hasConfigLease;
    this.hasEndpoints = hasEndpoints;
    this.monotonicMillis = monotonicMillis;
    this.startMillis = monotonicMillis.getAsLong();
  }

  boolean isOpen() {
    if (!open.get()) {
      long uptimeMillis = monotonicMillis.getAsLong() - startMillis;
      boolean synchronised =
          hasConfigLease.getAsBoolean()
              && (hasEndpoints.getAsBoolean() || uptimeMillis > MAX_ENDPOINT_WAIT_MILLIS);
      if (synchronised || uptimeMillis > MAX_LEASE_WAIT_MILLIS) {
        open.set(true);
      }
    }
    return open.get();
  }
}
