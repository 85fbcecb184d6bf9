package org.hickoryspar.node.entry;

import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

/** Counts the requests in progress and detects when a drain is complete. Thread-safe. */
final class DrainTracker {

  /** Time for load balancers to detect the lost readiness before connections are refused. */
  static final long REFUSAL_DELAY_MILLIS = 2_000;

  /** Time without requests after which open connections no longer delay the drain. */
  private static final long IDLE_CONNECTION_MILLIS = 1_000;

  private final LongSupplier monotonicMillis;
  private final CompletableFuture<Void> drained = new CompletableFuture<>();
  private int activeRequests;
  private boolean draining;
  private long drainStartMillis;
  private long lastRequestEndMillis;

  DrainTracker(LongSupplier monotonicMillis) {
    this.monotonicMillis = monotonicMillis;
  }

  synchronized void recordRequestStart() {
    activeRequests++;
  }

  synchronized void recordRequestEnd() {
    activeRequests--;
    lastRequestEndMillis = monotonicMillis.getAsLong();
  }

  /** Starts the drain, unless it has been started before. */
  synchronized void startDrain() {
    if (!draining) {
      draining = true;
      drainStartMillis = monotonicMillis.getAsLong();
      lastRequestEndMillis = drainStartMillis;
    }
  }

  synchronized boolean isDraining() {
    return draining;
  }

  /** Returns whether the drain may refuse new connections. */
  synchronized boolean mayRefuseConnections() {
    return draining && monotonicMillis.getAsLong() - drainStartMillis >= REFUSAL_DELAY_MILLIS;
  }

  /** Completes the drain if all requests have ended, outcomes are recorded and callers are idle. */
  void completeIfDrained(int openConnections, boolean outcomesRecorded) {
    boolean complete;
    synchronized (this) {
      boolean connectionsIdle =
          monotonicMillis.getAsLong() - lastRequestEndMillis >= IDLE_CONNECTION_MILLIS;
      complete =
          mayRefuseConnections()
              && activeRequests == 0
              && outcomesRecorded
              && (openConnections == 0 || connectionsIdle);
    }
    if (complete) {
      drained.complete(null);
    }
  }

  CompletableFuture<Void> whenDrained() {
    return drained.copy();
  }
}
