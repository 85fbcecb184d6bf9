package org.hickoryspar.kernel.minion;

/** The lease of a minion and the schedule of its renewals. */
public final class LeaseState {

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

  /**
   * Creates the state of a minion that has not responded yet; a renewal is due at once.
   *
   * @param nowMillis monotonic time in milliseconds
   */
  public LeaseState(long nowMillis) {
    createdMillis = nowMillis;
    nextDueMillis = nowMillis;
    lastResponseMillis = nowMillis;
  }

  /**
   * Returns when this leader added this life of the minion to its table.
   *
   * @return monotonic time in milliseconds
   */
  public long createdMillis() {
    return createdMillis;
  }

  /**
   * Returns whether a renewal is to be sent.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return true if none is outstanding and the time of the next one has come
   */
  public boolean isDue(long nowMillis) {
    return !renewalOutstanding && !awaitingRecord && nowMillis >= nextDueMillis;
  }

  /**
   * Returns whether a renewal has neither a response nor failed.
   *
   * @return true while one is outstanding
   */
  public boolean isRenewalOutstanding() {
    return renewalOutstanding;
  }

  /**
   * Returns when the next renewal is due.
   *
   * @return monotonic time in milliseconds, the maximum while renewals pause
   */
  public long nextDueMillis() {
    return renewalOutstanding || awaitingRecord ? Long.MAX_VALUE : nextDueMillis;
  }

  /**
   * Records that a renewal was sent.
   *
   * @param nowMillis monotonic time in milliseconds
   * @param deadlineMillis granted expiry on the minion's clock, 0 for none
   */
  public void recordSent(long nowMillis, long deadlineMillis) {
    renewalOutstanding = true;
    lastSentMillis = nowMillis;
    grantedUntilMillis = Math.max(grantedUntilMillis, deadlineMillis);
  }

  /**
   * Returns when the last renewal was sent.
   *
   * @return monotonic time in milliseconds
   */
  public long lastSentMillis() {
    return lastSentMillis;
  }

  /**
   * Records that another order grants a lease.
   *
   * @param untilMillis granted expiry on the minion's clock
   */
  public void extendGrant(long untilMillis) {
    grantedUntilMillis = Math.max(grantedUntilMillis, untilMillis);
  }

  /**
   * Records the response to a renewal; the next one is due at once.
   *
   * @param nowMillis monotonic time in milliseconds
   */
  public void recordResponse(long nowMillis) {
    renewalOutstanding = false;
    hasResponded = true;
    consecutiveFailures = 0;
    hasUnansweredOrder = false;
    lastResponseMillis = nowMillis;
    nextDueMillis = nowMillis;
  }

  /**
   * Records that a renewal failed; the next one is due after a growing pause.
   *
   * @param nowMillis monotonic time in milliseconds
   */
  public void recordFailure(long nowMillis) {
    renewalOutstanding = false;
    consecutiveFailures++;
    int exponent = Math.min(consecutiveFailures, MAX_BACKOFF_FAILURES) - 1;
    nextDueMillis = nowMillis + (INITIAL_BACKOFF_MILLIS << exponent);
  }

  /**
   * Marks the ends up to a number as proposed; renewals pause until they are recorded.
   *
   * @param number number of the last end that the response lists
   */
  public void markEndsProposed(long number) {
    proposedEndNumber = Math.max(proposedEndNumber, number);
    awaitingRecord = true;
  }

  /** Marks the proposed ends as recorded; the next renewal acknowledges them. */
  public void markEndsRecorded() {
    recordedEndNumber = proposedEndNumber;
    awaitingRecord = false;
  }

  /**
   * Returns whether renewals pause until ends are recorded.
   *
   * @return true between {@link #markEndsProposed} and {@link #markEndsRecorded}
   */
  public boolean isAwaitingRecord() {
    return awaitingRecord;
  }

  /**
   * Returns the number up to which ends are recorded.
   *
   * @return the number of an end, 0 for none
   */
  public long recordedEndNumber() {
    return recordedEndNumber;
  }

  /**
   * Returns whether the minion has responded to a renewal of this leader.
   *
   * @return true after the first response
   */
  public boolean hasResponded() {
    return hasResponded;
  }

  /**
   * Records an order without a response. The minion may be unreachable, so it is given no work
   * until it responds to a renewal.
   */
  public void recordUnansweredOrder() {
    hasUnansweredOrder = true;
  }

  /**
   * Returns whether an order got no response since the last response to a renewal.
   *
   * @return true if the minion is given no work for that
   */
  public boolean hasUnansweredOrder() {
    return hasUnansweredOrder;
  }

  /**
   * Returns whether the last renewal failed.
   *
   * @return true until the next response
   */
  public boolean isSuspect() {
    return consecutiveFailures > 0;
  }

  /**
   * Returns when the minion last responded to a renewal, or was added.
   *
   * @return monotonic time in milliseconds
   */
  public long lastResponseMillis() {
    return lastResponseMillis;
  }

  /**
   * Returns the latest expiry among the granted leases, on the minion's clock.
   *
   * @return time on the minion's clock in milliseconds, 0 for none
   */
  public long grantedUntilMillis() {
    return grantedUntilMillis;
  }
}
