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
import org.hickoryspar.node.control.StateMachine;
import org.hickoryspar.protocol.LogEntry;

/**
 * Applies committed entries to the state machine and makes snapshots; used by one thread. Only
 * {@link #appliedIndex} may be read by others.
 */
final class Applier<R> {

  private final StateMachine<R> machine;
  private final int snapshotIntervalEntries;
  private final BiConsumer<LogEntry, R> onApplied;
  private final ObjLongConsumer<ByteString> onSnapshot;
  private final PriorityQueue<Waiting> waiting =
      new PriorityQueue<>(Comparator.comparingLong((Waiting w) -> w.index));
  private volatile long appliedIndex;
  private long snapshotIndex;

  Applier(
      StateMachine<R> machine,
      int snapshotIntervalEntries,
      BiConsumer<LogEntry, R> onApplied,
      ObjLongConsumer<ByteString> onSnapshot) {
    this.machine = machine;
    this.snapshotIntervalEntries = snapshotIntervalEntries;
    this.onApplied = onApplied;
    this.onSnapshot = onSnapshot;
  }

  long appliedIndex() {
    return appliedIndex;
  }

  void restore(Snapshot snapshot) {
    machine.restore(snapshot.data());
    snapshotIndex = snapshot.lastIndex();
    advance(snapshot.lastIndex());
  }

  void apply(ReplicaAction.Apply apply) {
    for (LogEntry entry : apply.entries()) {
      if (entry.hasCommand()) {
        R result = machine.apply(entry.getIndex(), entry.getCommand());
        advance(entry.getIndex());
        onApplied.accept(entry, result);
      } else {
        advance(entry.getIndex());
      }
      if (appliedIndex - snapshotIndex >= snapshotIntervalEntries) {
        snapshotIndex = appliedIndex;
        onSnapshot.accept(machine.snapshot(), appliedIndex);
      }
    }
  }

  /** Runs an action as soon as an index is applied. */
  void whenApplied(long index, Runnable action) {
    if (appliedIndex >= index) {
      action.run();
    } else {
      waiting.add(new Waiting(index, action));
    }
  }

  private void advance(long index) {
    appliedIndex = index;
    List<Runnable> ready = new ArrayList<>();
    while (!waiting.isEmpty() && waiting.peek().index <= index) {
      ready.add(waiting.remove().action);
    }
    ready.forEach(Runnable::run);
  }

  private record Waiting(long index, Runnable action) {}
}
