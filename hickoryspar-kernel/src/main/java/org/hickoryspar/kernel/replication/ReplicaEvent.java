package org.hickoryspar.kernel.replication;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.hickoryspar.protocol.ReplicationMessage;

/** An event that is handled by {@link ReplicaCore#step}. */
public sealed interface ReplicaEvent {

  /** Reports that time has passed. */
  record Tick() implements ReplicaEvent {}

  /**
   * Delivers a message from another replica.
   *
   * @param message the message
   */
  record Received(ReplicationMessage message) implements ReplicaEvent {}

  /**
   * Proposes commands; returns {@link ReplicaAction.Accepted} or {@link ReplicaAction.Rejected} for
   * each.
   *
   * @param proposals the commands
   */
  record Propose(List<Proposal> proposals) implements ReplicaEvent {

    /** Makes an immutable copy of the proposals. */
    public Propose {
      proposals = List.copyOf(proposals);
    }
  }

  /**
   * Reports that all writes up to a sequence number are synced.
   *
   * @param sequence sequence number of the last synced write
   */
  record Synced(long sequence) implements ReplicaEvent {}

  /**
   * Delivers a snapshot that was taken of the state machine.
   *
   * @param lastIndex index of the last entry that it includes
   * @param data the serialized state
   */
  record SnapshotTaken(long lastIndex, ByteString data) implements ReplicaEvent {}

  /**
   * Requests a confirmation of the leadership for a linearizable read; results in {@link
   * ReplicaAction.ReadBarrierPassed} or {@link ReplicaAction.Rejected}.
   *
   * @param requestId identifier of the request
   */
  record ReadBarrier(long requestId) implements ReplicaEvent {}

  /**
   * Requests a transfer of leadership to another voter; results in {@link ReplicaAction.Completed}
   * or {@link ReplicaAction.Rejected}.
   *
   * @param requestId identifier of the request
   */
  record TransferLeadership(long requestId) implements ReplicaEvent {}

  /**
   * Requests that a replica be added as a learner and promoted to a voter after it has caught up;
   * results in {@link ReplicaAction.Completed} or {@link ReplicaAction.Rejected}.
   *
   * @param requestId identifier of the request
   * @param replicaId the replica to add
   * @param replaces voter to remove afterwards, if any
   */
  record AddVoter(long requestId, String replicaId, Optional<String> replaces)
      implements ReplicaEvent {}

  /**
   * Requests the removal of a voter or learner; results in {@link ReplicaAction.Completed} or
   * {@link ReplicaAction.Rejected}.
   *
   * @param requestId identifier of the request
   * @param replicaId the replica to remove
   */
  record RemoveReplica(long requestId, String replicaId) implements ReplicaEvent {}

  /**
   * A proposed command.
   *
   * @param requestId identifier that the result refers to
   * @param command the serialized command
   */
  record Proposal(long requestId, ByteString command) {}
}
