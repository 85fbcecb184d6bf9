package org.hickoryspar.node.entry;

import org.hickoryspar.kernel.requests.CircuitBreaker;
import org.hickoryspar.kernel.requests.SlotShare;
import org.hickoryspar.protocol.Endpoint;

/** The state of a minion at an entry. Guarded by the lock of the dispatcher of its service. */
final class MinionState {

  private final String id;
  private final CircuitBreaker breaker = new CircuitBreaker();
  private Endpoint endpoint;
  private MinionConnectionPool pool;
  private SlotShare share;
  private int slotsInUse;
  private boolean unregistered;

  MinionState(Endpoint endpoint, MinionConnectionPool pool, SlotShare share) {
    this.id = endpoint.getMinionId();
    this.endpoint = endpoint;
    this.pool = pool;
    this.share = share;
  }

  void update(Endpoint newEndpoint, MinionConnectionPool newPool, SlotShare newShare) {
    endpoint = newEndpoint;
    pool = newPool;
    share = newShare;
    unregistered = false;
  }

  /** Marks the minion as left or expired and closes its connection pool. */
  void unregister() {
    if (!unregistered) {
      unregistered = true;
      pool.close();
    }
  }

  boolean isUnregistered() {
    return unregistered;
  }

  String id() {
    return id;
  }

  Endpoint endpoint() {
    return endpoint;
  }

  MinionConnectionPool pool() {
    return pool;
  }

  SlotShare share() {
    return share;
  }

  CircuitBreaker breaker() {
    return breaker;
  }

  int slotsInUse() {
    return slotsInUse;
  }

  void acquireSlot() {
    slotsInUse++;
  }

  void releaseSlot() {
    slotsInUse--;
  }
}
