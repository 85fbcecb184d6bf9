package org.hickoryspar.kernel.replication;

import java.util.OptionalLong;
import java.util.TreeMap;

/** Remembers when the leader sent each round, so that a lease counts from the sending. */
final class Rounds {

  private final long memoryNanos;
  private final TreeMap<Long, Long> sentNanos = new TreeMap<>();
  private long lastRound;

  Rounds(long memoryNanos) {
    this.memoryNanos = memoryNanos;
  }

  /** Returns the round of messages that are sent now. */
  long current(long nowNanos) {
    Long lastSent = sentNanos.get(lastRound);
    if (lastSent == null || lastSent != nowNanos) {
      sentNanos.put(++lastRound, nowNanos);
    }
    while (nowNanos - sentNanos.firstEntry().getValue() > memoryNanos) {
      sentNanos.pollFirstEntry();
    }
    return lastRound;
  }

  /** Returns the number of the newest round, 0 for none. */
  long last() {
    return lastRound;
  }

  /** Returns when a round was sent; empty for an unknown round, or one that is too old. */
  OptionalLong sentAt(long round) {
    Long nanos = sentNanos.get(round);
    return nanos == null ? OptionalLong.empty() : OptionalLong.of(nanos);
  }
}
