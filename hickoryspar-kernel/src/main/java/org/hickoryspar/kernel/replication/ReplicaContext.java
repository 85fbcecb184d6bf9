package org.hickoryspar.kernel.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.protocol.LogEntry;
import org.hickoryspar.protocol.Membership;
import org.hickoryspar.protocol.ReplicationMessage;
import org.jspecify.annotations.Nullable;

/**
 * State shared by all roles of a replica, and the actions of the current step. All changes of a
 * step to the log, term and vote become one write; messages that depend on it are deferred until it
 * is synced.
 */
final class ReplicaContext {

  private final String id;
  private final ReplicaOptions options;
  private final RandomGenerator random;
  private final EntryLog log;
  private HardState hardState;
  private @Nullable Snapshot snapshot;
  private long commitIndex;
  private long deliveredIndex;
  private @Nullable Snapshot snapshotToRestore;

  private long nowNanos;
  private List<ReplicaAction> actions = new ArrayList<>();
  private long writtenSequence;
  private long syncedSequence;
  private final Deque<DeferredMessage> deferredMessages = new ArrayDeque<>();
  private final List<ReplicationMessage> deferredInStep = new ArrayList<>();

  private boolean hardStateChanged;
  private long hardStateSequence;
  private @Nullable Snapshot snapshotToWrite;
  private boolean replacesLog;
  private long compactTo;
  private long truncateFrom;
  private final List<LogEntry> appendedEntries = new ArrayList<>();

  ReplicaContext(
      String id,
      ReplicaOptions options,
      RandomGenerator random,
      RecoveredState recovered,
      long nowNanos) {
    this.id = id;
    this.options = options;
    this.random = random;
    this.log = new EntryLog(recovered);
    this.hardState = recovered.hardState();
    this.snapshot = recovered.snapshot().orElse(null);
    this.commitIndex = snapshot == null ? 0 : snapshot.lastIndex();
    this.snapshotToRestore = snapshot;
    this.nowNanos = nowNanos;
  }

  String id() {
    return id;
  }

  ReplicaOptions options() {
    return options;
  }

  EntryLog log() {
    return log;
  }

  long term() {
    return hardState.term();
  }

  HardState hardState() {
    return hardState;
  }

  long nowNanos() {
    return nowNanos;
  }

  long commitIndex() {
    return commitIndex;
  }

  @Nullable Snapshot snapshot() {
    return snapshot;
  }

  boolean isVoter() {
    return log.membership().getVotersList().contains(id);
  }

  /** Returns a random time between the shortest and the longest election timeout. */
  long randomElectionTimeoutNanos() {
    return random.nextLong(
        ReplicaOptions.millisToNanos(options.electionTimeoutMinMillis()),
        ReplicaOptions.millisToNanos(options.electionTimeoutMaxMillis()));
  }

  void beginStep(long newNowNanos) {
    nowNanos = newNowNanos;
    actions = new ArrayList<>();
  }

  /**
   * Ends the step: combines its changes into one write, sends the deferred messages whose writes
   * are synced and passes newly committed entries to the state machine.
   */
  List<ReplicaAction> endStep() {
    emitWrite();
    for (ReplicationMessage message : deferredInStep) {
      deferredMessages.addLast(new DeferredMessage(writtenSequence, message));
    }
    deferredInStep.clear();
    sendSyncedMessages();
    emitCommitted();
    return actions;
  }

  ReplicationMessage.Builder message(String to) {
    return ReplicationMessage.newBuilder().setFromReplica(id).setToReplica(to).setTerm(term());
  }

  void send(ReplicationMessage.Builder message) {
    actions.add(new ReplicaAction.Send(message.build()));
  }

  /** Defers a message until all earlier changes and those of this step are synced. */
  void sendWhenSynced(ReplicationMessage.Builder message) {
    deferredInStep.add(message.build());
  }

  void addAction(ReplicaAction action) {
    actions.add(action);
  }

  void reject(long requestId, String code, String message) {
    actions.add(new ReplicaAction.Rejected(requestId, Problem.of(code, message)));
  }

  boolean isHardStateSynced() {
    return !hardStateChanged && hardStateSequence <= syncedSequence;
  }

  void setHardState(long term, String votedFor) {
    if (term != hardState.term()) {
      // Deferred messages of an earlier term are obsolete once this replica has left that term.
      deferredMessages.removeIf(deferred -> deferred.message.getTerm() != term);
    }
    hardState = new HardState(term, votedFor);
    hardStateChanged = true;
  }

  void append(LogEntry entry) {
    log.append(entry);
    appendedEntries.add(entry);
  }

  long appendInCurrentTerm(LogEntry.Builder entry) {
    append(entry.setIndex(log.lastIndex() + 1).setTerm(term()).build());
    return log.lastIndex();
  }

  long appendInCurrentTerm(Membership membership) {
    return appendInCurrentTerm(LogEntry.newBuilder().setMembership(membership));
  }

  void truncateFrom(long index) {
    if (index <= commitIndex) {
      throw new IllegalStateException(
          "committed entry " + index + " conflicts with the log of the leader");
    }
    log.truncateFrom(index);
    truncateFrom = index;
  }

  void installSnapshot(Snapshot received) {
    log.reset(received);
    snapshot = received;
    snapshotToRestore = received;
    commitIndex = received.lastIndex();
    snapshotToWrite = received;
    replacesLog = true;
  }

  void saveSnapshot(Snapshot taken) {
    snapshot = taken;
    snapshotToWrite = taken;
    long index =
        Math.max(
            taken.lastIndex() - options.retainedEntries(),
            log.lowestIndexWithin(options.retainedBytes(), taken.lastIndex()));
    if (index > log.baseIndex()) {
      log.compactTo(index);
      compactTo = index;
    }
  }

  void advanceCommitIndex(long index) {
    commitIndex = Math.max(commitIndex, index);
  }

  void recordSynced(long sequence) {
    syncedSequence = Math.max(syncedSequence, sequence);
    log.recordWritesSynced(sequence);
  }

  private void emitWrite() {
    if (!hardStateChanged
        && snapshotToWrite == null
        && truncateFrom == 0
        && compactTo == 0
        && appendedEntries.isEmpty()) {
      return;
    }
    writtenSequence++;
    actions.add(
        new ReplicaAction.Write(
            new StorageWrite(
                writtenSequence,
                hardStateChanged ? Optional.of(hardState) : Optional.empty(),
                Optional.ofNullable(snapshotToWrite),
                replacesLog,
                compactTo,
                truncateFrom,
                appendedEntries)));
    log.recordWriteStarted(writtenSequence);
    if (hardStateChanged) {
      hardStateSequence = writtenSequence;
    }
    hardStateChanged = false;
    snapshotToWrite = null;
    replacesLog = false;
    compactTo = 0;
    truncateFrom = 0;
    appendedEntries.clear();
  }

  private void sendSyncedMessages() {
    while (!deferredMessages.isEmpty() && deferredMessages.peekFirst().sequence <= syncedSequence) {
      actions.add(new ReplicaAction.Send(deferredMessages.removeFirst().message));
    }
  }

  // Entries are applied only after they are synced on this replica too, so that a snapshot of the
  // applied state never includes entries beyond the end of the log on the disk.
  private void emitCommitted() {
    long lastIndex = Math.min(commitIndex, log.syncedIndex());
    Snapshot pendingRestore = snapshotToRestore;
    if (pendingRestore != null) {
      if (log.syncedIndex() < pendingRestore.lastIndex()) {
        return;
      }
      snapshotToRestore = null;
      deliveredIndex = pendingRestore.lastIndex();
      actions.add(new ReplicaAction.Restore(pendingRestore));
    }
    if (lastIndex > deliveredIndex) {
      List<StoredEntry> entries = new ArrayList<>();
      for (long i = deliveredIndex + 1; i <= lastIndex; i++) {
        entries.add(log.entry(i));
      }
      deliveredIndex = lastIndex;
      actions.add(new ReplicaAction.Apply(entries));
    }
  }

  private record DeferredMessage(long sequence, ReplicationMessage message) {}
}
