package org.hickoryspar.kernel.dispatch;

import static java.util.Objects.requireNonNull;

import org.hickoryspar.protocol.MinionLife;

/**
 * Where an order goes.
 *
 * @param life the life of the minion that the order is meant for
 * @param address host and port of the minion
 */
public record MinionTarget(MinionLife life, String address) {

  /** Checks the components. */
  public MinionTarget {
    requireNonNull(life, "life is null");
    requireNonNull(address, "address is null");
  }
}
