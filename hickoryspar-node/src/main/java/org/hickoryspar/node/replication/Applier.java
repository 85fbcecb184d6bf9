package org.hickoryspar.node.replication;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.BiConsumer;
import java.util.function.ObjLongConsumer;
import org.hickoryspar.kernel.replication.ReplicaAction;
import org.hickoryspar.kernel.replication.Snapshot;
import org.hickoryspar.kernel.replication.StoredEntry;
import org.hickoryspar.node.control.StateMachine;
import org.hickoryspar.protocol.LogEntry;

/**
 * Applies committed entries to the state machine and takes snapshots of it. Only {@link
 * #appliedIndex} may be called from other threads.
 */
final class Applier<R> {

  private final StateMachine<R> stateMachine;
  private final int snapshotIntervalEntries;
  private final long snapshotIntervalBytes;
  private final BiConsumer<LogEntry, R> onApplied;
  private final ObjLongConsumer<ByteString> onSnapshot;
  private final PriorityQueue<PendingAction> pendingActions =
      new PriorityQueue<>(Comparator.comparingLong((PendingAction pending) -> pending.index));
  private volatile long appliedIndex;
  private long snapshotIndex;
  private long bytesSinceSnapshot;

  Applier(
      StateMachine<R> stateMachine,
      int snapshotIntervalEntries,
      long snapshotIntervalBytes,
      BiConsumer<LogEntry, R> onApplied,
      ObjLongConsumer<ByteString> onSnapshot) {
    this.stateMachine = stateMachine;
    this.snapshotIntervalEntries = snapshotIntervalEntries;
    this.snapshotIntervalBytes = snapshotIntervalBytes;
    this.onApplied = onApplied;
    this.onSnapshot = onSnapshot;
  }

  long appliedIndex() {
    return appliedIndex;
  }

  void restore(Snapshot snapshot) {
    stateMachine.restore(snapshot.data());
    startSnapshotInterval(snapshot.lastIndex());
    advanceTo(snapshot.lastIndex());
  }

  void apply(ReplicaAction.Apply apply) {
    for (StoredEntry stored : apply.entries()) {
      LogEntry entry = stored.read();
      if (entry.hasCommand()) {
        R result = stateMachine.apply(entry.getIndex(), entry.getCommand());
        advanceTo(entry.getIndex());
        onApplied.accept(entry, result);
      } else {
        advanceTo(entry.getIndex());
      }
      bytesSinceSnapshot += entry.getSerializedSize();
      if (isSnapshotDue()) {
        startSnapshotInterval(appliedIndex);
        onSnapshot.accept(stateMachine.snapshot(), appliedIndex);
      }
    }
  }

  // The number of entries bounds the time to replay the log, their size the memory and disk space.
  private boolean isSnapshotDue() {
    return appliedIndex - snapshotIndex >= snapshotIntervalEntries
        || bytesSinceSnapshot >= snapshotIntervalBytes;
  }

  private void startSnapshotInterval(long index) {
    snapshotIndex = index;
    bytesSinceSnapshot = 0;
  }

  /** Runs an action once an index is applied, immediately if it already is. */
  void runWhenApplied(long index, Runnable action) {
    if (appliedIndex >= index) {
      action.run();
    } else {
      pendingActions.add(new PendingAction(index, action));
    }
  }

  private void advanceTo(long index) {
    appliedIndex = index;
    List<Runnable> dueActions = new ArrayList<>();
    while (!pendingActions.isEmpty() && pendingActions.peek().index <= index) {
      dueActions.add(pendingActions.remove().action);
    }
    dueActions.forEach(Runnable::run);
  }

  private record PendingAction(long index, Runnable action) {}
}
