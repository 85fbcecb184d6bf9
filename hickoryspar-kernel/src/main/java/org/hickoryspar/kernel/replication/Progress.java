package org.hickoryspar.kernel.replication;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/** What the leader knows about one other replica. */
final class Progress {

  /** How entries are sent. */
  enum Mode {
    /** Empty messages search for the end of the common part of the logs. */
    PROBE,
    /** Entries are sent ahead of the answers. */
    REPLICATE,
    /** The log no longer reaches back far enough; a snapshot is sent. */
    SNAPSHOT
  }

  private Mode mode = Mode.REPLICATE;
  private long nextIndex;
  private long matchIndex;
  private long ackedRound;
  private boolean heard;
  private long contactNanos;
  private boolean probeSent;
  private final Deque<Long> inFlight = new ArrayDeque<>();
  private @Nullable Snapshot snapshot;
  private long snapshotOffset;
  private long chunkSentNanos;

  Progress(long nextIndex) {
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

  /** Returns when the newest answered round was sent, or {@code otherwise} without an answer. */
  long contactNanos(long otherwise) {
    return heard ? contactNanos : otherwise;
  }

  boolean heardSince(long nanos) {
    return heard && contactNanos - nanos >= 0;
  }

  void contact(long round, long sentNanos) {
    if (!heard || sentNanos - contactNanos > 0) {
      contactNanos = sentNanos;
    }
    heard = true;
    ackedRound = Math.max(ackedRound, round);
  }

  boolean canSendEntries(int inFlightMessages) {
    return mode == Mode.REPLICATE && inFlight.size() < inFlightMessages;
  }

  boolean mustProbe() {
    return mode == Mode.PROBE && !probeSent;
  }

  void entriesSent(long lastIndex) {
    nextIndex = lastIndex + 1;
    inFlight.addLast(lastIndex);
  }

  void probeSent() {
    probeSent = true;
  }

  void matched(long index, long logBase) {
    matchIndex = Math.max(matchIndex, index);
    while (!inFlight.isEmpty() && inFlight.peekFirst() <= matchIndex) {
      inFlight.removeFirst();
    }
    // The log may have been compacted beyond the snapshot while it was sent; then another follows.
    Snapshot sent = snapshot;
    boolean hasSnapshot = matchIndex >= logBase || (sent != null && matchIndex >= sent.lastIndex());
    if (mode == Mode.PROBE || (mode == Mode.SNAPSHOT && hasSnapshot)) {
      mode = Mode.REPLICATE;
      snapshot = null;
      inFlight.clear();
      nextIndex = matchIndex + 1;
    }
    nextIndex = Math.max(nextIndex, matchIndex + 1);
  }

  void refused(long hint, long lastIndex) {
    if (hint <= matchIndex || mode == Mode.SNAPSHOT) {
      return;
    }
    mode = Mode.PROBE;
    probeSent = false;
    inFlight.clear();
    nextIndex = Math.min(hint, lastIndex + 1);
  }

  void startSnapshot(Snapshot newSnapshot) {
    mode = Mode.SNAPSHOT;
    snapshot = newSnapshot;
    snapshotOffset = 0;
    inFlight.clear();
  }

  @Nullable Snapshot snapshot() {
    return snapshot;
  }

  long snapshotOffset() {
    return snapshotOffset;
  }

  void snapshotOffset(long offset) {
    snapshotOffset = offset;
  }

  long chunkSentNanos() {
    return chunkSentNanos;
  }

  void chunkSent(long nowNanos) {
    chunkSentNanos = nowNanos;
  }
}
