package org.hickoryspar.kernel.replication;

import java.util.Optional;
import org.hickoryspar.protocol.AppendRequest;
import org.hickoryspar.protocol.AppendResponse;
import org.hickoryspar.protocol.LogEntry;
import org.hickoryspar.protocol.ReplicationMessage;
import org.hickoryspar.protocol.SnapshotChunk;
import org.hickoryspar.protocol.SnapshotChunkResponse;

/** Handles append requests and snapshot chunks from the leader. */
final class ReplicationReceiver {

  private final ReplicaContext context;
  private SnapshotReceiver snapshotReceiver = new SnapshotReceiver();

  ReplicationReceiver(ReplicaContext context) {
    this.context = context;
  }

  void onAppend(String leaderId, AppendRequest request) {
    EntryLog log = context.log();
    long previousIndex = request.getPreviousIndex();
    if (previousIndex >= log.baseIndex()
        && log.termAt(previousIndex) != request.getPreviousTerm()) {
      reject(leaderId, request);
      return;
    }
    boolean logChanged = false;
    for (LogEntry entry : request.getEntriesList()) {
      long index = entry.getIndex();
      if (index <= log.baseIndex() || log.termAt(index) == entry.getTerm()) {
        continue;
      }
      if (index <= log.lastIndex()) {
        context.truncateFrom(index);
      }
      context.append(entry);
      logChanged = true;
    }
    long matchIndex = previousIndex + request.getEntriesCount();
    context.advanceCommitIndex(Math.min(request.getCommitIndex(), matchIndex));
    acknowledge(leaderId, request.getRound(), matchIndex, logChanged);
  }

  void onSnapshotChunk(String leaderId, SnapshotChunk chunk) {
    EntryLog log = context.log();
    if (chunk.getLastIndex() <= context.commitIndex()
        || log.termAt(chunk.getLastIndex()) == chunk.getLastTerm()) {
      // The log already holds all entries that the snapshot includes; later entries may have been
      // acknowledged and must be kept.
      context.advanceCommitIndex(chunk.getLastIndex());
      acknowledge(leaderId, chunk.getRound(), chunk.getLastIndex(), false);
      return;
    }
    Optional<Snapshot> snapshot = snapshotReceiver.accept(chunk);
    if (snapshot.isPresent()) {
      context.installSnapshot(snapshot.get());
      snapshotReceiver = new SnapshotReceiver();
      acknowledge(leaderId, chunk.getRound(), chunk.getLastIndex(), true);
      return;
    }
    context.send(
        context
            .message(leaderId)
            .setSnapshotChunkResponse(
                SnapshotChunkResponse.newBuilder()
                    .setLastIndex(chunk.getLastIndex())
                    .setNextOffsetBytes(snapshotReceiver.nextOffsetBytes())
                    .setRound(chunk.getRound())));
  }

  // Only synced entries are acknowledged. The response to a change waits for the sync; any other
  // response is sent immediately, so that a slow disk does not look like a failed replica.
  private void acknowledge(String leaderId, long round, long matchIndex, boolean logChanged) {
    if (logChanged || !context.isHardStateSynced()) {
      context.sendWhenSynced(appendResponse(leaderId, round, matchIndex));
    } else {
      context.send(
          appendResponse(leaderId, round, Math.min(matchIndex, context.log().syncedIndex())));
    }
  }

  private ReplicationMessage.Builder appendResponse(String leaderId, long round, long matchIndex) {
    return context
        .message(leaderId)
        .setAppendResponse(
            AppendResponse.newBuilder().setSuccess(true).setMatchIndex(matchIndex).setRound(round));
  }

  private void reject(String leaderId, AppendRequest request) {
    EntryLog log = context.log();
    long nextIndexHint = Math.min(request.getPreviousIndex(), log.lastIndex() + 1);
    // Skips the whole conflicting term, because each probe costs a round trip.
    long conflictTerm = log.termAt(nextIndexHint);
    while (nextIndexHint > context.commitIndex() + 1
        && nextIndexHint > log.baseIndex() + 1
        && conflictTerm >= 0
        && log.termAt(nextIndexHint - 1) == conflictTerm) {
      nextIndexHint--;
    }
    context.send(
        context
            .message(leaderId)
            .setAppendResponse(
                AppendResponse.newBuilder()
                    .setSuccess(false)
                    .setNextIndexHint(Math.max(nextIndexHint, 1))
                    .setRound(request.getRound())));
  }
}
