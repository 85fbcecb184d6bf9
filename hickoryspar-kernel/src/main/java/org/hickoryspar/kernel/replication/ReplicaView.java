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
 * @param leaderId the leader, when known
 * @param leaseUntilNanos monotonic time at which the leader lease ends; meaningful on the leader
 * @param leaseUsable whether this replica leads and has not given its lease up
 * @param termStartIndex index that must be applied before the leader may grant anything: the first
 *     entry of its term
 * @param commitIndex highest committed index
 * @param lastIndex highest index in the log
 * @param voters the voters
 * @param learners the learners
 * @param matchIndexes on the leader, the highest index that is synced on each replica
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
    List<String> voters,
    List<String> learners,
    Map<String, Long> matchIndexes) {

  /** Copies the collections. */
  public ReplicaView {
    voters = List.copyOf(voters);
    learners = List.copyOf(learners);
    matchIndexes = Map.copyOf(matchIndexes);
  }

  /**
   * Returns whether the replica may grant something.
   *
   * @param nowNanos monotonic time, read after the view was obtained
   * @param appliedIndex highest index that its state machine has applied
   * @return true while it leads, its lease lasts and it has applied an entry of its own term
   */
  public boolean holdsLease(long nowNanos, long appliedIndex) {
    return leaseUsable && appliedIndex >= termStartIndex && nowNanos - leaseUntilNanos < 0;
  }
}
