package org.hickoryspar.kernel.dispatch;

/** How the lease of a minion stands and when it is to be renewed. */
final class LeaseState {

  /** After this many renewals in a row without answer, the pause before the next is longest. */
  private static final int MAX_BACKOFF_FAILURES = 4;

  private static final long FIRST_BACKOFF_MILLIS = 50;

  private final long sinceMillis;
  private boolean contacted;
  private boolean outstanding;
  private long sentMillis;
  private long answeredMillis;
  private int failures;
  private boolean silent;
  private long nextDueMillis;
  private long grantedUntilMillis;
  private long seenEnd;
  private long proposedEnd;
  private boolean awaitingCommit;

  LeaseState(long nowMillis) {
    sinceMillis = nowMillis;
    nextDueMillis = nowMillis;
    answeredMillis = nowMillis;
  }

  /** Returns when the leader first knew of this life of the minion. */
  long sinceMillis() {
    return sinceMillis;
  }

  boolean isDue(long nowMillis) {
    return !outstanding && !awaitingCommit && nowMillis >= nextDueMillis;
  }

  boolean isOutstanding() {
    return outstanding;
  }

  long nextDueMillis() {
    return outstanding || awaitingCommit ? Long.MAX_VALUE : nextDueMillis;
  }

  void sent(long nowMillis, long grantedMillis) {
    outstanding = true;
    sentMillis = nowMillis;
    grantedUntilMillis = Math.max(grantedUntilMillis, grantedMillis);
  }

  long sentMillis() {
    return sentMillis;
  }

  void granted(long untilMillis) {
    grantedUntilMillis = Math.max(grantedUntilMillis, untilMillis);
  }

  void answered(long nowMillis) {
    outstanding = false;
    contacted = true;
    failures = 0;
    silent = false;
    answeredMillis = nowMillis;
    nextDueMillis = nowMillis;
  }

  void failed(long nowMillis) {
    outstanding = false;
    failures++;
    int exponent = Math.min(failures, MAX_BACKOFF_FAILURES) - 1;
    nextDueMillis = nowMillis + (FIRST_BACKOFF_MILLIS << exponent);
  }

  /** The ends up to a number are proposed; the next renewal waits until they are recorded. */
  void endsProposed(long number) {
    proposedEnd = Math.max(proposedEnd, number);
    awaitingCommit = true;
  }

  /** What was proposed is recorded durably. */
  void endsRecorded() {
    seenEnd = proposedEnd;
    awaitingCommit = false;
  }

  boolean isAwaitingCommit() {
    return awaitingCommit;
  }

  long seenEnd() {
    return seenEnd;
  }

  /** Returns whether the minion has answered this leader. */
  boolean isContacted() {
    return contacted;
  }

  /** An order got no answer; until the next one, the minion may be out of reach. */
  void orderUnanswered() {
    silent = true;
  }

  /** Returns whether an order got no answer since the minion last answered a renewal. */
  boolean isSilent() {
    return silent;
  }

  boolean isSuspect() {
    return failures > 0;
  }

  long answeredMillis() {
    return answeredMillis;
  }

  /** Returns the end of the longest lease that was granted, on the minion's clock. */
  long grantedUntilMillis() {
    return grantedUntilMillis;
  }
}
