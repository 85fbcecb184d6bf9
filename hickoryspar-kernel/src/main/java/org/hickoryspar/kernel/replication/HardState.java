package org.hickoryspar.kernel.replication;

import static java.util.Objects.requireNonNull;

/**
 * The term and the vote of a replica, which must be on the disk before any message shows them.
 *
 * @param term current term
 * @param votedFor replica that got the vote in this term, empty for none
 */
public record HardState(long term, String votedFor) {

  /**
   * Checks the components.
   *
   * @throws NullPointerException if a component is null
   */
  public HardState {
    requireNonNull(votedFor, "votedFor is null");
  }
}
