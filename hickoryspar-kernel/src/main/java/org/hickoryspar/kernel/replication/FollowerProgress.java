package org.hickoryspar.kernel.replication;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/** Replication progress of one other replica, a follower or a learner, as tracked by the leader. */
final class FollowerProgress {

  /** How the leader replicates to the replica. */
  enum Mode {
    /** Sends empty append requests to find the last entry that both logs have in common. */
    PROBE,
    /** Sends entries without waiting for the responses to earlier ones. */
    REPLICATE,
    /** Sends a snapshot, because the next entry was compacted. */
    SNAPSHOT
  }

  private Mode mode = Mode.REPLICATE;
  private long nextIndex;
  private long matchIndex;
  private long ackedRound;
  private boolean hasResponded;
  private long lastContactNanos;
  private boolean probeSent;
  private final Deque<Long> inFlightLastIndexes = new ArrayDeque<>();
  private @Nullable Snapshot snapshot;
  private int snapshotChecksum;
  private long snapshotOffsetBytes;
  private long chunkSentNanos;

  FollowerProgress(long nextIndex) {
    this.nextIndex = nextIndex;
  }

  Mode mode() {
    return mode;
  }

  long nextIndex() {
    return nextIndex;
  }

  long matchIndex() {
    return matchIndex;
  }

  long ackedRound() {
    return ackedRound;
  }

  /** Returns when the latest acknowledged round was sent, or {@code defaultNanos} if none was. */
  long lastContactNanos(long defaultNanos) {
    return hasResponded ? lastContactNanos : defaultNanos;
  }

  boolean isActiveSince(long sinceNanos) {
    return hasResponded && lastContactNanos - sinceNanos >= 0;
  }

  void recordResponse(long round, long sentNanos) {
    if (!hasResponded || sentNanos - lastContactNanos > 0) {
      lastContactNanos = sentNanos;
    }
    hasResponded = true;
    ackedRound = Math.max(ackedRound, round);
  }

  boolean canSendEntries(int maxInFlightAppends) {
    return mode == Mode.REPLICATE && inFlightLastIndexes.size() < maxInFlightAppends;
  }

  boolean needsProbe() {
    return mode == Mode.PROBE && !probeSent;
  }

  void recordEntriesSent(long lastIndex) {
    nextIndex = lastIndex + 1;
    inFlightLastIndexes.addLast(lastIndex);
  }

  void recordProbeSent() {
    probeSent = true;
  }

  void recordMatch(long index, long logBaseIndex) {
    matchIndex = Math.max(matchIndex, index);
    while (!inFlightLastIndexes.isEmpty() && inFlightLastIndexes.peekFirst() <= matchIndex) {
      inFlightLastIndexes.removeFirst();
    }
    // If the log was compacted beyond the snapshot during the transfer, another snapshot follows.
    Snapshot sentSnapshot = snapshot;
    boolean snapshotInstalled =
        matchIndex >= logBaseIndex
            || (sentSnapshot != null && matchIndex >= sentSnapshot.lastIndex());
    if (mode == Mode.PROBE || (mode == Mode.SNAPSHOT && snapshotInstalled)) {
      mode = Mode.REPLICATE;
      snapshot = null;
      inFlightLastIndexes.clear();
      nextIndex = matchIndex + 1;
    }
    nextIndex = Math.max(nextIndex, matchIndex + 1);
  }

  void recordRejection(long nextIndexHint, long lastIndex) {
    if (nextIndexHint <= matchIndex || mode == Mode.SNAPSHOT) {
      return;
    }
    mode = Mode.PROBE;
    probeSent = false;
    inFlightLastIndexes.clear();
    nextIndex = Math.min(nextIndexHint, lastIndex + 1);
  }

  void startSnapshot(Snapshot newSnapshot) {
    mode = Mode.SNAPSHOT;
    snapshot = newSnapshot;
    snapshotChecksum = newSnapshot.checksum();
    snapshotOffsetBytes = 0;
    inFlightLastIndexes.clear();
  }

  @Nullable Snapshot snapshot() {
    return snapshot;
  }

  int snapshotChecksum() {
    return snapshotChecksum;
  }

  long snapshotOffsetBytes() {
    return snapshotOffsetBytes;
  }

  void setSnapshotOffsetBytes(long offsetBytes) {
    snapshotOffsetBytes = offsetBytes;
  }

  long chunkSentNanos() {
    return chunkSentNanos;
  }

  void recordChunkSent(long nowNanos) {
    chunkSentNanos = nowNanos;
  }
}
