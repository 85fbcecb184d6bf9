package org.hickoryspar.kernel.replication;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import org.hickoryspar.protocol.ReplicationMessage;

/** Something that happened to a replica; an argument of {@link ReplicaCore#step}. */
public sealed interface ReplicaEvent {

  /** Time has passed. */
  record Tick() implements ReplicaEvent {}

  /**
   * A message arrived.
   *
   * @param message the message
   */
  record Received(ReplicationMessage message) implements ReplicaEvent {}

  /**
   * Commands are proposed; answered with {@link ReplicaAction.Accepted} or {@link
   * ReplicaAction.Rejected} for each.
   *
   * @param proposals the commands
   */
  record Propose(List<Proposal> proposals) implements ReplicaEvent {

    /** Copies the list. */
    public Propose {
      proposals = List.copyOf(proposals);
    }
  }

  /**
   * All writes up to a sequence number are synced.
   *
   * @param sequence number of the last one
   */
  record Synced(long sequence) implements ReplicaEvent {}

  /**
   * The state machine made a snapshot.
   *
   * @param lastIndex the last index that it had applied
   * @param data the state as bytes
   */
  record SnapshotTaken(long lastIndex, ByteString data) implements ReplicaEvent {}

  /**
   * A reader waits for confirmed leadership; answered with {@link ReplicaAction.ReadBarrierPassed}
   * or {@link ReplicaAction.Rejected}.
   *
   * @param requestId number of the request
   */
  record ReadBarrier(long requestId) implements ReplicaEvent {}

  /**
   * Leadership shall be handed over; answered with {@link ReplicaAction.Completed} or {@link
   * ReplicaAction.Rejected}.
   *
   * @param requestId number of the request
   */
  record TransferLeadership(long requestId) implements ReplicaEvent {}

  /**
   * A replica shall become a voter; answered with {@link ReplicaAction.Completed} or {@link
   * ReplicaAction.Rejected}.
   *
   * @param requestId number of the request
   * @param replicaId the replica
   * @param replaces voter that is removed afterwards, if any
   */
  record AddVoter(long requestId, String replicaId, Optional<String> replaces)
      implements ReplicaEvent {}

  /**
   * A replica shall be removed; answered with {@link ReplicaAction.Completed} or {@link
   * ReplicaAction.Rejected}.
   *
   * @param requestId number of the request
   * @param replicaId the replica
   */
  record RemoveReplica(long requestId, String replicaId) implements ReplicaEvent {}

  /**
   * A command and the number that its answer refers to.
   *
   * @param requestId number of the request
   * @param command the command
   */
  record Proposal(long requestId, ByteString command) {}
}
