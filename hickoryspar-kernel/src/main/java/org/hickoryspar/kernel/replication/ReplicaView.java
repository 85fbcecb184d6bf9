package org.hickoryspar.kernel.replication;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * State of a replica after a step.
 *
 * @param replicaId the replica
 * @param role its role
 * @param term current term
 * @param leaderId the current leader, if known
 * @param leaseUntilNanos monotonic time at which the leader lease ends, 0 unless this replica leads
 * @param leaseUsable whether this replica leads and has not renounced its lease to transfer
 *     leadership
 * @param termStartIndex index of the first entry of the leader's term, which must be applied before
 *     the leader acts on its state; 0 unless this replica leads
 * @param commitIndex highest committed index
 * @param lastIndex highest index in the log
 * @param logBytes size of the entries that the log has not compacted
 * @param voters the voters
 * @param learners the learners
 * @param matchIndexes highest index known to be synced on each replica, empty unless this replica
 *     leads
 */
public record ReplicaView(
    String replicaId,
    ReplicaRole role,
    long term,
    Optional<String> leaderId,
    long leaseUntilNanos,
    boolean leaseUsable,
    long termStartIndex,
    long commitIndex,
    long lastIndex,
    long logBytes,
    List<String> voters,
    List<String> learners,
    Map<String, Long> matchIndexes) {

  /** Makes immutable copies of the collections. */
  public ReplicaView {
    voters = List.copyOf(voters);
    learners = List.copyOf(learners);
    matchIndexes = Map.copyOf(matchIndexes);
  }

  /**
   * Returns whether the replica may act as the leader on its applied state.
   *
   * @param nowNanos monotonic time, read after the view was obtained
   * @param appliedIndex highest index that its state machine has applied
   * @return true while it leads, its lease is valid and it has applied an entry of its own term
   */
  public boolean holdsLease(long nowNanos, long appliedIndex) {
    return leaseUsable && appliedIndex >= termStartIndex && nowNanos - leaseUntilNanos < 0;
  }
}
