package org.hickoryspar.node.entry;

import org.hickoryspar.kernel.requests.CircuitBreaker;
import org.hickoryspar.kernel.requests.SlotShare;
import org.hickoryspar.protocol.Endpoint;

/** What an entry knows about a minion; guarded by the lock of its service's dispatcher. */
final class MinionState {

  private final String id;
  private final CircuitBreaker breaker = new CircuitBreaker();
  private Endpoint endpoint;
  private MinionPool pool;
  private SlotShare share;
  private int inUse;
  private boolean gone;

  MinionState(Endpoint endpoint, MinionPool pool, SlotShare share) {
    this.id = endpoint.getMinionId();
    this.endpoint = endpoint;
    this.pool = pool;
    this.share = share;
  }

  void update(Endpoint next, MinionPool nextPool, SlotShare nextShare) {
    endpoint = next;
    pool = nextPool;
    share = nextShare;
    gone = false;
  }

  /** Notes that the minion has left or expired. */
  void leave() {
    if (!gone) {
      gone = true;
      pool.close();
    }
  }

  boolean isGone() {
    return gone;
  }

  String id() {
    return id;
  }

  Endpoint endpoint() {
    return endpoint;
  }

  MinionPool pool() {
    return pool;
  }

  SlotShare share() {
    return share;
  }

  CircuitBreaker breaker() {
    return breaker;
  }

  int inUse() {
    return inUse;
  }

  void take() {
    inUse++;
  }

  void giveBack() {
    inUse--;
  }
}
