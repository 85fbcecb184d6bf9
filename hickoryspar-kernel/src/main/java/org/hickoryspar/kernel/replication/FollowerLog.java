package org.hickoryspar.kernel.replication;

import java.util.Optional;
import org.hickoryspar.protocol.AppendRequest;
import org.hickoryspar.protocol.AppendResponse;
import org.hickoryspar.protocol.LogEntry;
import org.hickoryspar.protocol.ReplicationMessage;
import org.hickoryspar.protocol.SnapshotChunk;
import org.hickoryspar.protocol.SnapshotChunkResponse;

/** Takes entries and snapshots from the leader and answers them. */
final class FollowerLog {

  private final ReplicaContext context;
  private SnapshotReceiver receiver = new SnapshotReceiver();

  FollowerLog(ReplicaContext context) {
    this.context = context;
  }

  void onAppend(String leader, AppendRequest request) {
    EntryLog log = context.log();
    long previous = request.getPreviousIndex();
    if (previous >= log.baseIndex() && log.termAt(previous) != request.getPreviousTerm()) {
      refuse(leader, request);
      return;
    }
    boolean changed = false;
    for (LogEntry entry : request.getEntriesList()) {
      long index = entry.getIndex();
      if (index <= log.baseIndex() || log.termAt(index) == entry.getTerm()) {
        continue;
      }
      if (index <= log.lastIndex()) {
        context.truncateFrom(index);
      }
      context.append(entry);
      changed = true;
    }
    long matched = previous + request.getEntriesCount();
    context.commitTo(Math.min(request.getCommitIndex(), matched));
    accept(leader, request.getRound(), matched, changed);
  }

  void onChunk(String leader, SnapshotChunk chunk) {
    EntryLog log = context.log();
    if (chunk.getLastIndex() <= context.commitIndex()
        || log.termAt(chunk.getLastIndex()) == chunk.getLastTerm()) {
      // The log already holds all that the snapshot includes; entries after it may have been
      // acknowledged and must stay.
      context.commitTo(chunk.getLastIndex());
      accept(leader, chunk.getRound(), chunk.getLastIndex(), false);
      return;
    }
    Optional<Snapshot> complete = receiver.accept(chunk);
    if (complete.isPresent()) {
      context.install(complete.get());
      receiver = new SnapshotReceiver();
      accept(leader, chunk.getRound(), chunk.getLastIndex(), true);
      return;
    }
    context.send(
        context
            .message(leader)
            .setSnapshotChunkResponse(
                SnapshotChunkResponse.newBuilder()
                    .setLastIndex(chunk.getLastIndex())
                    .setNextOffsetBytes(receiver.nextOffsetBytes())
                    .setRound(chunk.getRound())));
  }

  // Only what is synced is acknowledged. An answer to a change waits for the sync; any other
  // answer goes out at once, so that a slow disk does not look like a lost replica.
  private void accept(String leader, long round, long matched, boolean changed) {
    if (changed || !context.isHardStateSynced()) {
      context.sendWhenSynced(response(leader, round, matched));
    } else {
      context.send(response(leader, round, Math.min(matched, context.log().syncedIndex())));
    }
  }

  private ReplicationMessage.Builder response(String leader, long round, long matched) {
    return context
        .message(leader)
        .setAppendResponse(
            AppendResponse.newBuilder().setSuccess(true).setMatchIndex(matched).setRound(round));
  }

  private void refuse(String leader, AppendRequest request) {
    EntryLog log = context.log();
    long hint = Math.min(request.getPreviousIndex(), log.lastIndex() + 1);
    // Skip the whole conflicting term: each probe costs a round trip.
    long conflictTerm = log.termAt(hint);
    while (hint > context.commitIndex() + 1
        && hint > log.baseIndex() + 1
        && conflictTerm >= 0
        && log.termAt(hint - 1) == conflictTerm) {
      hint--;
    }
    context.send(
        context
            .message(leader)
            .setAppendResponse(
                AppendResponse.newBuilder()
                    .setSuccess(false)
                    .setNextIndexHint(Math.max(hint, 1))
                    .setRound(request.getRound())));
  }
}
