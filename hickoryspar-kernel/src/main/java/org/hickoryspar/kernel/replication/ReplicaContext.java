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
 * State that all roles of a replica share, and the actions of the current step. Changes of the log
 * and the term in one step become one write; messages that must wait for it are held back here.
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
  private @Nullable Snapshot unrestored;

  private long nowNanos;
  private List<ReplicaAction> actions = new ArrayList<>();
  private long writtenSequence;
  private long syncedSequence;
  private final Deque<HeldMessage> held = new ArrayDeque<>();
  private final List<ReplicationMessage> heldInStep = new ArrayList<>();

  private boolean hardStateChanged;
  private long hardStateSequence;
  private @Nullable Snapshot snapshotToWrite;
  private boolean replacesLog;
  private long compactTo;
  private long truncateFrom;
  private final List<LogEntry> appended = new ArrayList<>();

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
    this.unrestored = snapshot;
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

  /** Returns a time between the shortest and the longest election timeout. */
  long randomElectionTimeoutNanos() {
    return random.nextLong(
        ReplicaOptions.nanos(options.electionTimeoutMinMillis()),
        ReplicaOptions.nanos(options.electionTimeoutMaxMillis()));
  }

  void begin(long newNowNanos) {
    nowNanos = newNowNanos;
    actions = new ArrayList<>();
  }

  /** Ends the step: collects its changes into one write and delivers what became committed. */
  List<ReplicaAction> end() {
    flushWrite();
    for (ReplicationMessage message : heldInStep) {
      held.addLast(new HeldMessage(writtenSequence, message));
    }
    heldInStep.clear();
    releaseHeld();
    deliver();
    return actions;
  }

  ReplicationMessage.Builder message(String to) {
    return ReplicationMessage.newBuilder().setFromReplica(id).setToReplica(to).setTerm(term());
  }

  void send(ReplicationMessage.Builder message) {
    actions.add(new ReplicaAction.Send(message.build()));
  }

  /** Sends a message once all changes made so far are synced. */
  void sendWhenSynced(ReplicationMessage.Builder message) {
    heldInStep.add(message.build());
  }

  void act(ReplicaAction action) {
    actions.add(action);
  }

  void reject(long requestId, String code, String text) {
    actions.add(new ReplicaAction.Rejected(requestId, Problem.of(code, text)));
  }

  boolean isHardStateSynced() {
    return !hardStateChanged && hardStateSequence <= syncedSequence;
  }

  void setHardState(long term, String votedFor) {
    if (term != hardState.term()) {
      // Answers of an earlier term are of no use to anyone once this replica has left that term.
      held.removeIf(h -> h.message.getTerm() != term);
    }
    hardState = new HardState(term, votedFor);
    hardStateChanged = true;
  }

  void append(LogEntry entry) {
    log.append(entry);
    appended.add(entry);
  }

  long appendOwn(LogEntry.Builder entry) {
    append(entry.setIndex(log.lastIndex() + 1).setTerm(term()).build());
    return log.lastIndex();
  }

  long appendOwn(Membership membership) {
    return appendOwn(LogEntry.newBuilder().setMembership(membership));
  }

  void truncateFrom(long index) {
    if (index <= commitIndex) {
      throw new IllegalStateException(
          "entry " + index + " conflicts with the leader but is committed");
    }
    log.truncateFrom(index);
    truncateFrom = index;
  }

  void install(Snapshot installed) {
    log.reset(installed);
    snapshot = installed;
    unrestored = installed;
    commitIndex = installed.lastIndex();
    snapshotToWrite = installed;
    replacesLog = true;
  }

  void keepSnapshot(Snapshot made) {
    snapshot = made;
    snapshotToWrite = made;
    long index = made.lastIndex() - options.retainedEntries();
    if (index > log.baseIndex()) {
      log.compactTo(index);
      compactTo = index;
    }
  }

  void commitTo(long index) {
    commitIndex = Math.max(commitIndex, index);
  }

  void synced(long sequence) {
    syncedSequence = Math.max(syncedSequence, sequence);
    log.writesSynced(sequence);
  }

  private void flushWrite() {
    if (!hardStateChanged
        && snapshotToWrite == null
        && truncateFrom == 0
        && compactTo == 0
        && appended.isEmpty()) {
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
                appended)));
    log.writeStarted(writtenSequence);
    if (hardStateChanged) {
      hardStateSequence = writtenSequence;
    }
    hardStateChanged = false;
    snapshotToWrite = null;
    replacesLog = false;
    compactTo = 0;
    truncateFrom = 0;
    appended.clear();
  }

  private void releaseHeld() {
    while (!held.isEmpty() && held.peekFirst().sequence <= syncedSequence) {
      actions.add(new ReplicaAction.Send(held.removeFirst().message));
    }
  }

  // Entries are applied only once they are synced here too, so that a snapshot of the applied
  // state never runs ahead of the log on the disk.
  private void deliver() {
    long limit = Math.min(commitIndex, log.syncedIndex());
    Snapshot state = unrestored;
    if (state != null) {
      if (log.syncedIndex() < state.lastIndex()) {
        return;
      }
      unrestored = null;
      deliveredIndex = state.lastIndex();
      actions.add(new ReplicaAction.Restore(state));
    }
    if (limit > deliveredIndex) {
      List<LogEntry> entries = new ArrayList<>();
      for (long i = deliveredIndex + 1; i <= limit; i++) {
        entries.add(log.entry(i));
      }
      deliveredIndex = limit;
      actions.add(new ReplicaAction.Apply(entries));
    }
  }

  private record HeldMessage(long sequence, ReplicationMessage message) {}
}
