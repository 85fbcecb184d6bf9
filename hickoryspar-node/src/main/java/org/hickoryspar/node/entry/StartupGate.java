package org.hickoryspar.node.entry;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Decides when an entry that has just started is ready for callers.
 *
 * <p>An entry that knows neither the configuration nor the endpoints would answer "not run" to
 * requests that another entry could serve. Once open, the gate stays open: without a control leader
 * all entries together would otherwise leave the balancer, and callers would get no answer at all.
 */
final class StartupGate {

  /** Time after which a fleet without endpoints is taken for empty; minions refresh every 3 s. */
  static final long MAX_ENDPOINT_WAIT_MILLIS = 5_000;

  /** Time after which an entry without a configuration lease says so to callers itself. */
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
