package org.hickoryspar.kernel.replication;

import java.util.List;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.protocol.ReplicationMessage;

/** An action that the owner of a {@link ReplicaCore} must execute, in the order returned. */
public sealed interface ReplicaAction {

  /**
   * Writes and syncs a change, then reports {@link ReplicaEvent.Synced}. Several writes may share
   * one sync.
   *
   * @param write the change
   */
  record Write(StorageWrite write) implements ReplicaAction {}

  /**
   * Sends a message, which need not wait until earlier writes are synced.
   *
   * @param message the message
   */
  record Send(ReplicationMessage message) implements ReplicaAction {}

  /**
   * Applies committed entries to the state machine.
   *
   * @param entries consecutive entries
   */
  record Apply(List<StoredEntry> entries) implements ReplicaAction {

    /** Makes an immutable copy of the entries. */
    public Apply {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Replaces the state of the state machine with a snapshot.
   *
   * @param snapshot the new state
   */
  record Restore(Snapshot snapshot) implements ReplicaAction {}

  /**
   * Reports that a command was appended to the log of the leader, but is not committed yet.
   *
   * @param requestId identifier of the proposal
   * @param index index of the entry
   * @param term term of the entry
   */
  record Accepted(long requestId, long index, long term) implements ReplicaAction {}

  /**
   * Reports that a request failed.
   *
   * @param requestId identifier of the request
   * @param problem reason of the failure
   */
  record Rejected(long requestId, Problem problem) implements ReplicaAction {}

  /**
   * Reports that a majority has confirmed the leadership since the request arrived.
   *
   * @param requestId identifier of the request
   * @param readIndex index that must be applied before the read
   */
  record ReadBarrierPassed(long requestId, long readIndex) implements ReplicaAction {}

  /**
   * Reports that a leadership transfer or a membership change is complete.
   *
   * @param requestId identifier of the request
   * @param detail the new leader, or the voters after the change
   */
  record Completed(long requestId, String detail) implements ReplicaAction {}

  /**
   * Reports a change of the role, the term or the known leader.
   *
   * @param view the new state
   */
  record RoleChanged(ReplicaView view) implements ReplicaAction {}
}
