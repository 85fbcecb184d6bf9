package org.hickoryspar.kernel.dispatch.order;

import static java.util.Objects.requireNonNull;

import org.hickoryspar.protocol.MinionLife;

/**
 * The destination of an order.
 *
 * @param life the life of the minion that the order is addressed to
 * @param address host and port of the minion
 */
public record MinionTarget(MinionLife life, String address) {

  /** Rejects null components with a {@link NullPointerException}. */
  public MinionTarget {
    requireNonNull(life, "life is null");
    requireNonNull(address, "address is null");
  }
}
