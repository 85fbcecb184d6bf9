package org.hickoryspar.kernel.replication;

import java.util.OptionalLong;
import java.util.TreeMap;

/** Remembers when the leader sent each round, so that a lease counts from the sending. */
final class RoundTracker {

  private final long retentionNanos;
  private final TreeMap<Long, Long> sentNanosByRound = new TreeMap<>();
  private long lastRound;

  RoundTracker(long retentionNanos) {
    this.retentionNanos = retentionNanos;
  }

  /** Returns the round of messages that are sent now. */
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

  /** Returns the number of the newest round, 0 for none. */
  long lastRound() {
    return lastRound;
  }

  /** Returns when a round was sent; empty for an unknown round, or one that is too old. */
  OptionalLong sentNanosOf(long round) {
    Long sentNanos = sentNanosByRound.get(round);
    return sentNanos == null ? OptionalLong.empty() : OptionalLong.of(sentNanos);
  }
}
