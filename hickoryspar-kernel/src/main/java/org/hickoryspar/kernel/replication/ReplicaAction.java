package org.hickoryspar.kernel.replication;

import java.util.List;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.protocol.LogEntry;
import org.hickoryspar.protocol.ReplicationMessage;

/** Something that the owner of a {@link ReplicaCore} must do, in the order given. */
public sealed interface ReplicaAction {

  /**
   * Write, sync, then report {@link ReplicaEvent.Synced}. Several writes may share one sync.
   *
   * @param write what to write
   */
  record Write(StorageWrite write) implements ReplicaAction {}

  /**
   * Send a message; may be sent before earlier writes are synced.
   *
   * @param message the message
   */
  record Send(ReplicationMessage message) implements ReplicaAction {}

  /**
   * Apply committed entries to the state machine.
   *
   * @param entries the entries in order
   */
  record Apply(List<LogEntry> entries) implements ReplicaAction {

    /** Copies the list. */
    public Apply {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Replace the state of the state machine.
   *
   * @param snapshot the new state
   */
  record Restore(Snapshot snapshot) implements ReplicaAction {}

  /**
   * A command was appended to the leader's log.
   *
   * @param requestId number of the proposal
   * @param index its index
   * @param term its term
   */
  record Accepted(long requestId, long index, long term) implements ReplicaAction {}

  /**
   * A request failed.
   *
   * @param requestId number of the request
   * @param problem why
   */
  record Rejected(long requestId, Problem problem) implements ReplicaAction {}

  /**
   * Leadership was confirmed after the request arrived.
   *
   * @param requestId number of the request
   * @param readIndex index that must be applied before the read
   */
  record ReadBarrierPassed(long requestId, long readIndex) implements ReplicaAction {}

  /**
   * A change of leader or members is done.
   *
   * @param requestId number of the request
   * @param detail what was reached
   */
  record Completed(long requestId, String detail) implements ReplicaAction {}

  /**
   * Role, term or leader changed.
   *
   * @param view the new state
   */
  record RoleChanged(ReplicaView view) implements ReplicaAction {}
}
