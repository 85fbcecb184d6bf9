package org.hickoryspar.kernel.replication;

/** Role of a replica in the current term. */
public enum ReplicaRole {
  /** Replicates entries to the other replicas and advances the commit index. */
  LEADER,
  /** Receives entries from the leader and votes in elections. */
  FOLLOWER,
  /** Requests votes in a pre-vote or in an election. */
  CANDIDATE,
  /** Receives entries from the leader but neither votes nor counts towards a quorum. */
  LEARNER
}
