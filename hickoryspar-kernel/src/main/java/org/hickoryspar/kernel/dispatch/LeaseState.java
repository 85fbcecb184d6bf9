package org.hickoryspar.kernel.dispatch;

/** The lease of a minion and the schedule of its renewals. */
final class LeaseState {

  /** Number of consecutive failed renewals after which the backoff no longer grows. */
  private static final int MAX_BACKOFF_FAILURES = 4;

  private static final long INITIAL_BACKOFF_MILLIS = 50;

  private final long createdMillis;
  private boolean hasResponded;
  private boolean renewalOutstanding;
  private long lastSentMillis;
  private long lastResponseMillis;
  private int consecutiveFailures;
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

  /** Returns when this leader added this life of the minion to its table. */
  long createdMillis() {
    return createdMillis;
  }

  boolean isDue(long nowMillis) {
    return !renewalOutstanding && !awaitingRecord && nowMillis >= nextDueMillis;
  }

  boolean isRenewalOutstanding() {
    return renewalOutstanding;
  }

  long nextDueMillis() {
    return renewalOutstanding || awaitingRecord ? Long.MAX_VALUE : nextDueMillis;
  }

  void recordSent(long nowMillis, long deadlineMillis) {
    renewalOutstanding = true;
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
    renewalOutstanding = false;
    hasResponded = true;
    consecutiveFailures = 0;
    hasUnansweredOrder = false;
    lastResponseMillis = nowMillis;
    nextDueMillis = nowMillis;
  }

  void recordFailure(long nowMillis) {
    renewalOutstanding = false;
    consecutiveFailures++;
    int exponent = Math.min(consecutiveFailures, MAX_BACKOFF_FAILURES) - 1;
    nextDueMillis = nowMillis + (INITIAL_BACKOFF_MILLIS << exponent);
  }

  /** Marks the ends up to a number as proposed; renewals pause until they are recorded. */
  void markEndsProposed(long number) {
    proposedEndNumber = Math.max(proposedEndNumber, number);
    awaitingRecord = true;
  }

  /** Marks the proposed ends as recorded; the next renewal acknowledges them. */
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

  /** Returns whether the minion has responded to a renewal of this leader. */
  boolean hasResponded() {
    return hasResponded;
  }

  /**
   * Records an order without a response. The minion may be unreachable, so it is given no work
   * until it responds to a renewal.
   */
  void recordUnansweredOrder() {
    hasUnansweredOrder = true;
  }

  /** Returns whether an order got no response since the last response to a renewal. */
  boolean hasUnansweredOrder() {
    return hasUnansweredOrder;
  }

  boolean isSuspect() {
    return consecutiveFailures > 0;
  }

  long lastResponseMillis() {
    return lastResponseMillis;
  }

  /** Returns the latest expiry among the granted leases, on the minion's clock. */
  long grantedUntilMillis() {
    return grantedUntilMillis;
  }
}
