package org.hickoryspar.node.entry;

import java.util.concurrent.CompletableFuture;

/** Counts the requests that are being served and tells when a drain is complete. */
final class DrainState {

  private final CompletableFuture<Void> idle = new CompletableFuture<>();
  private int active;
  private boolean draining;

  synchronized void requestStarted() {
    active++;
  }

  void requestEnded() {
    boolean done;
    synchronized (this) {
      active--;
      done = draining && active == 0;
    }
    if (done) {
      idle.complete(null);
    }
  }

  void begin() {
    boolean done;
    synchronized (this) {
      draining = true;
      done = active == 0;
    }
    if (done) {
      idle.complete(null);
    }
  }

  synchronized boolean isDraining() {
    return draining;
  }

  CompletableFuture<Void> whenIdle() {
    return idle.copy();
  }
}
