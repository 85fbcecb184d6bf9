package org.hickoryspar.kernel.replication;

import com.google.protobuf.ByteString;
import java.util.List;
import org.hickoryspar.protocol.AppendRequest;
import org.hickoryspar.protocol.LogEntry;
import org.hickoryspar.protocol.SnapshotChunk;
import org.hickoryspar.protocol.SnapshotChunkResponse;

/** Sends entries, heartbeats and snapshots to the other replicas. */
final class Replicator {

  private final ReplicaContext context;
  private final Rounds rounds;

  Replicator(ReplicaContext context) {
    this.context = context;
    this.rounds = new Rounds(ReplicaOptions.nanos(context.options().electionTimeoutMaxMillis()));
  }

  Rounds rounds() {
    return rounds;
  }

  /** Notes that a replica answered a round of this leader. */
  void answered(Progress p, long round) {
    rounds.sentAt(round).ifPresent(sentNanos -> p.contact(round, sentNanos));
  }

  /** Sends what a replica lacks, as far as the window allows, and a heartbeat if one is due. */
  void replicate(String peer, Progress p, boolean heartbeat) {
    EntryLog log = context.log();
    boolean sent = false;
    while (p.canSendEntries(context.options().inFlightMessages())
        && p.nextIndex() > log.baseIndex()
        && p.nextIndex() <= log.lastIndex()) {
      List<LogEntry> entries =
          log.slice(
              p.nextIndex(), context.options().batchEntries(), context.options().batchBytes());
      sendAppend(peer, p.nextIndex() - 1, entries);
      p.entriesSent(entries.get(entries.size() - 1).getIndex());
      sent = true;
    }
    if (p.mode() != Progress.Mode.SNAPSHOT && p.nextIndex() <= log.baseIndex()) {
      startSnapshot(p);
    }
    if (p.mode() == Progress.Mode.SNAPSHOT) {
      resendChunk(peer, p);
      if (heartbeat) {
        sendAppend(peer, 0, List.of());
      }
    } else if ((heartbeat && !sent) || p.mustProbe()) {
      sendAppend(peer, p.nextIndex() - 1, List.of());
      p.probeSent();
    }
  }

  /** Sends the next chunk when the previous one arrived. */
  void chunkAnswered(String peer, Progress p, SnapshotChunkResponse response) {
    Snapshot snapshot = p.snapshot();
    if (snapshot == null
        || snapshot.lastIndex() != response.getLastIndex()
        || p.snapshotOffset() == response.getNextOffsetBytes()) {
      return;
    }
    p.snapshotOffset(response.getNextOffsetBytes());
    if (p.snapshotOffset() < snapshot.data().size()) {
      sendChunk(peer, p, snapshot);
    }
  }

  private void startSnapshot(Progress p) {
    Snapshot snapshot = context.snapshot();
    if (snapshot == null) {
      throw new IllegalStateException("the log was compacted without a snapshot");
    }
    p.startSnapshot(snapshot);
    p.chunkSent(context.nowNanos() - chunkTimeoutNanos());
  }

  // A chunk is large; it is not sent to a replica that does not even answer heartbeats.
  private void resendChunk(String peer, Progress p) {
    Snapshot snapshot = p.snapshot();
    long now = context.nowNanos();
    long heardSince = now - ReplicaOptions.nanos(context.options().electionTimeoutMinMillis());
    if (snapshot != null
        && p.heardSince(heardSince)
        && now - p.chunkSentNanos() >= chunkTimeoutNanos()) {
      sendChunk(peer, p, snapshot);
    }
  }

  private void sendChunk(String peer, Progress p, Snapshot snapshot) {
    ByteString data = snapshot.data();
    int from = (int) Math.min(p.snapshotOffset(), data.size());
    int to = Math.min(from + context.options().snapshotChunkBytes(), data.size());
    p.chunkSent(context.nowNanos());
    context.send(
        context
            .message(peer)
            .setSnapshotChunk(
                SnapshotChunk.newBuilder()
                    .setLastIndex(snapshot.lastIndex())
                    .setLastTerm(snapshot.lastTerm())
                    .setOffsetBytes(from)
                    .setTotalBytes(data.size())
                    .setData(data.substring(from, to))
                    .setMembership(snapshot.membership())
                    .setChecksum(snapshot.checksum())
                    .setRound(rounds.current(context.nowNanos()))));
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
                    .setRound(rounds.current(context.nowNanos()))));
  }

  private long chunkTimeoutNanos() {
    return 2 * ReplicaOptions.nanos(context.options().electionTimeoutMinMillis());
  }
}
