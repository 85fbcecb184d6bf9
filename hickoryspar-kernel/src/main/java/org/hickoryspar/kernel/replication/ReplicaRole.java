package org.hickoryspar.kernel.replication;

/** What a replica is at the moment. */
public enum ReplicaRole {
  /** Sends entries to the others and decides what is committed. */
  LEADER,
  /** Receives entries and votes. */
  FOLLOWER,
  /** Asks for votes, or whether it would get them. */
  CANDIDATE,
  /** Receives entries and is no member of the quorum. */
  LEARNER
}
