package org.hickoryspar.kernel.replication;

import static java.util.Objects.requireNonNull;

/**
 * Term and vote of a replica, which must be synced before a message that depends on them is sent.
 *
 * @param term current term
 * @param votedFor replica that received the vote in this term, empty for none
 */
public record HardState(long term, String votedFor) {

  /**
   * Rejects a missing vote, which is the empty string.
   *
   * @throws NullPointerException if {@code votedFor} is null
   */
  public HardState {
    requireNonNull(votedFor, "votedFor is null");
  }
}
