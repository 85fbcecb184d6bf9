package org.hickoryspar.kernel.replication;

import com.google.protobuf.ByteString;
import java.util.List;
import org.hickoryspar.protocol.AppendRequest;
import org.hickoryspar.protocol.LogEntry;
import org.hickoryspar.protocol.SnapshotChunk;
import org.hickoryspar.protocol.SnapshotChunkResponse;

/** Sends entries, heartbeats and snapshots from the leader to the other replicas. */
final class Replicator {

  private final ReplicaContext context;
  private final RoundTracker rounds;

  Replicator(ReplicaContext context) {
    this.context = context;
    this.rounds =
        new RoundTracker(
            ReplicaOptions.millisToNanos(context.options().electionTimeoutMaxMillis()));
  }

  RoundTracker rounds() {
    return rounds;
  }

  /** Records the response of a replica to a round; a round that is too old is ignored. */
  void recordResponse(FollowerProgress progress, long round) {
    rounds.sentNanosOf(round).ifPresent(sentNanos -> progress.recordResponse(round, sentNanos));
  }

  /**
   * Sends missing entries, up to the limit of append requests in flight, or a snapshot, and a
   * heartbeat if one is due.
   */
  void replicate(String peer, FollowerProgress progress, boolean heartbeat) {
    EntryLog log = context.log();
    boolean entriesSent = false;
    while (progress.canSendEntries(context.options().maxInFlightAppends())
        && progress.nextIndex() > log.baseIndex()
        && progress.nextIndex() <= log.lastIndex()) {
      List<LogEntry> entries =
          log.slice(
              progress.nextIndex(),
              context.options().maxBatchEntries(),
              context.options().maxBatchBytes());
      sendAppend(peer, progress.nextIndex() - 1, entries);
      progress.recordEntriesSent(entries.get(entries.size() - 1).getIndex());
      entriesSent = true;
    }
    if (progress.mode() != FollowerProgress.Mode.SNAPSHOT
        && progress.nextIndex() <= log.baseIndex()) {
      startSnapshot(progress);
    }
    if (progress.mode() == FollowerProgress.Mode.SNAPSHOT) {
      sendChunkIfDue(peer, progress);
      if (heartbeat) {
        sendAppend(peer, 0, List.of());
      }
    } else if ((heartbeat && !entriesSent) || progress.needsProbe()) {
      sendAppend(peer, progress.nextIndex() - 1, List.of());
      progress.recordProbeSent();
    }
  }

  /** Sends the next chunk after the previous one was acknowledged. */
  void onSnapshotChunkResponse(
      String peer, FollowerProgress progress, SnapshotChunkResponse response) {
    Snapshot snapshot = progress.snapshot();
    if (snapshot == null
        || snapshot.lastIndex() != response.getLastIndex()
        || progress.snapshotOffsetBytes() == response.getNextOffsetBytes()) {
      return;
    }
    progress.setSnapshotOffsetBytes(response.getNextOffsetBytes());
    if (progress.snapshotOffsetBytes() < snapshot.data().size()) {
      sendChunk(peer, progress, snapshot);
    }
  }

  private void startSnapshot(FollowerProgress progress) {
    Snapshot snapshot = context.snapshot();
    if (snapshot == null) {
      throw new IllegalStateException("the log was compacted without a snapshot");
    }
    progress.startSnapshot(snapshot);
    progress.recordChunkSent(context.nowNanos() - chunkRetransmitTimeoutNanos());
  }

  // Chunks are large, so none is sent to a replica that does not respond to heartbeats.
  private void sendChunkIfDue(String peer, FollowerProgress progress) {
    Snapshot snapshot = progress.snapshot();
    long nowNanos = context.nowNanos();
    long sinceNanos =
        nowNanos - ReplicaOptions.millisToNanos(context.options().electionTimeoutMinMillis());
    if (snapshot != null
        && progress.isActiveSince(sinceNanos)
        && nowNanos - progress.chunkSentNanos() >= chunkRetransmitTimeoutNanos()) {
      sendChunk(peer, progress, snapshot);
    }
  }

  private void sendChunk(String peer, FollowerProgress progress, Snapshot snapshot) {
    ByteString data = snapshot.data();
    int fromOffset = (int) Math.min(progress.snapshotOffsetBytes(), data.size());
    int toOffset = Math.min(fromOffset + context.options().snapshotChunkBytes(), data.size());
    progress.recordChunkSent(context.nowNanos());
    context.send(
        context
            .message(peer)
            .setSnapshotChunk(
                SnapshotChunk.newBuilder()
                    .setLastIndex(snapshot.lastIndex())
                    .setLastTerm(snapshot.lastTerm())
                    .setOffsetBytes(fromOffset)
                    .setTotalBytes(data.size())
                    .setData(data.substring(fromOffset, toOffset))
                    .setMembership(snapshot.membership())
                    .setChecksum(progress.snapshotChecksum())
                    .setRound(rounds.currentRound(context.nowNanos()))));
  }

  private void sendAppend(String peer, long previousIndex, List<LogEntry> entries) {
    context.send(
        context
            .message(peer)
            .setAppendRequest(
                AppendRequest.newBuilder()
                    .setPreviousIndex(previousIndex)
                    .setPreviousTerm(Math.max(0, context.log().termAt(previousIndex)))
                    .addAllEntries(entries)
                    .setCommitIndex(context.commitIndex())
                    .setRound(rounds.currentRound(context.nowNanos()))));
  }

  private long chunkRetransmitTimeoutNanos() {
    return 2 * ReplicaOptions.millisToNanos(context.options().electionTimeoutMinMillis());
  }
}
