package org.hickoryspar.node.entry;

import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

/** Counts the requests that are being served and tells when a drain is complete. */
final class DrainState {

  /** Time for load balancers to see that readiness is gone, before connections are refused. */
  static final long LINGER_MILLIS = 2_000;

  /** A connection that has been quiet for this long is not waited for. */
  private static final long QUIET_MILLIS = 1_000;

  private final LongSupplier monotonicMillis;
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private int active;
  private boolean draining;
  private long beganMillis;
  private long lastMillis;

  DrainState(LongSupplier monotonicMillis) {
    this.monotonicMillis = monotonicMillis;
  }

  synchronized void requestStarted() {
    active++;
  }

  synchronized void requestEnded() {
    active--;
    lastMillis = monotonicMillis.getAsLong();
  }

  /** Begins the drain; later calls change nothing. */
  synchronized void begin() {
    if (!draining) {
      draining = true;
      beganMillis = monotonicMillis.getAsLong();
      lastMillis = beganMillis;
    }
  }

  synchronized boolean isDraining() {
    return draining;
  }

  /** Returns whether new connections are to be refused. */
  synchronized boolean isLingerOver() {
    return draining && monotonicMillis.getAsLong() - beganMillis >= LINGER_MILLIS;
  }

  /** Completes the drain if nothing is left to finish. */
  void check(int connections, boolean recordsDone) {
    boolean done;
    synchronized (this) {
      boolean quiet = monotonicMillis.getAsLong() - lastMillis >= QUIET_MILLIS;
      done = isLingerOver() && active == 0 && recordsDone && (connections == 0 || quiet);
    }
    if (done) {
      drained.complete(null);
    }
  }

  CompletableFuture<Void> whenDrained() {
    return drained.copy();
  }
}
