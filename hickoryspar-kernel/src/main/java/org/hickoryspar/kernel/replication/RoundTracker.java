package org.hickoryspar.kernel.replication;

import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Numbers the rounds of the leader and records when each was sent, because a lease starts at that
 * time. A round comprises all messages that the leader sends at the same time.
 */
final class RoundTracker {

  private final long retentionNanos;
  private final TreeMap<Long, Long> sentNanosByRound = new TreeMap<>();
  private long lastRound;

  RoundTracker(long retentionNanos) {
    this.retentionNanos = retentionNanos;
  }

  /** Returns the round of messages sent at a time; starts a new one if the time has advanced. */
  long currentRound(long nowNanos) {
    Long lastSentNanos = sentNanosByRound.get(lastRound);
    if (lastSentNanos == null || lastSentNanos != nowNanos) {
      sentNanosByRound.put(++lastRound, nowNanos);
    }
    while (nowNanos - sentNanosByRound.firstEntry().getValue() > retentionNanos) {
      sentNanosByRound.pollFirstEntry();
    }
    return lastRound;
  }

  /** Returns the number of the latest round, 0 before the first one. */
  long lastRound() {
    return lastRound;
  }

  /** Returns when a round was sent, or empty if it is unknown or older than the retention time. */
  OptionalLong sentNanosOf(long round) {
    Long sentNanos = sentNanosByRound.get(round);
    return sentNanos == null ? OptionalLong.empty() : OptionalLong.of(sentNanos);
  }
}
