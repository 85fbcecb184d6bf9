package org.hickoryspar.kernel.dispatch;

/** How the lease of a minion stands and when it is to be renewed. */
final class LeaseState {

  /** After this many renewals in a row without answer, the pause before the next is longest. */
  private static final int MAX_BACKOFF_FAILURES = 4;

  private static final long INITIAL_BACKOFF_MILLIS = 50;

  private final long createdMillis;
  private boolean hasResponded;
  private boolean outstanding;
  private long lastSentMillis;
  private long lastResponseMillis;
  private int failures;
  private boolean hasUnansweredOrder;
  private long nextDueMillis;
  private long grantedUntilMillis;
  private long recordedEndNumber;
  private long proposedEndNumber;
  private boolean awaitingRecord;

  LeaseState(long nowMillis) {
    createdMillis = nowMillis;
    nextDueMillis = nowMillis;
    lastResponseMillis = nowMillis;
  }

  /** Returns when the leader first knew of this life of the minion. */
  long createdMillis() {
    return createdMillis;
  }

  boolean isDue(long nowMillis) {
    return !outstanding && !awaitingRecord && nowMillis >= nextDueMillis;
  }

  boolean isOutstanding() {
    return outstanding;
  }

  long nextDueMillis() {
    return outstanding || awaitingRecord ? Long.MAX_VALUE : nextDueMillis;
  }

  void recordSent(long nowMillis, long deadlineMillis) {
    outstanding = true;
    lastSentMillis = nowMillis;
    grantedUntilMillis = Math.max(grantedUntilMillis, deadlineMillis);
  }

  long lastSentMillis() {
    return lastSentMillis;
  }

  void extendGrant(long untilMillis) {
    grantedUntilMillis = Math.max(grantedUntilMillis, untilMillis);
  }

  void recordResponse(long nowMillis) {
    outstanding = false;
    hasResponded = true;
    failures = 0;
    hasUnansweredOrder = false;
    lastResponseMillis = nowMillis;
    nextDueMillis = nowMillis;
  }

  void recordFailure(long nowMillis) {
    outstanding = false;
    failures++;
    int exponent = Math.min(failures, MAX_BACKOFF_FAILURES) - 1;
    nextDueMillis = nowMillis + (INITIAL_BACKOFF_MILLIS << exponent);
  }

  /** The ends up to a number are proposed; the next renewal waits until they are recorded. */
  void markEndsProposed(long number) {
    proposedEndNumber = Math.max(proposedEndNumber, number);
    awaitingRecord = true;
  }

  /** What was proposed is recorded durably. */
  void markEndsRecorded() {
    recordedEndNumber = proposedEndNumber;
    awaitingRecord = false;
  }

  boolean isAwaitingRecord() {
    return awaitingRecord;
  }

  long recordedEndNumber() {
    return recordedEndNumber;
  }

  /** Returns whether the minion has answered this leader. */
  boolean hasResponded() {
    return hasResponded;
  }

  /** An order got no answer; until the next one, the minion may be out of reach. */
  void recordUnansweredOrder() {
    hasUnansweredOrder = true;
  }

  /** Returns whether an order got no answer since the minion last answered a renewal. */
  boolean hasUnansweredOrder() {
    return hasUnansweredOrder;
  }

  boolean isSuspect() {
    return failures > 0;
  }

  long lastResponseMillis() {
    return lastResponseMillis;
  }

  /** Returns the end of the longest lease that was granted, on the minion's clock. */
  long grantedUntilMillis() {
    return grantedUntilMillis;
  }
}
