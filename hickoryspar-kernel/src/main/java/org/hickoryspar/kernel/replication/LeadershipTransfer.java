package org.hickoryspar.kernel.replication;

/** A pending transfer of leadership to another voter. */
final class LeadershipTransfer {

  private final long requestId;
  private final String target;
  private final long deadlineNanos;
  private boolean timeoutNowSent;

  LeadershipTransfer(long requestId, String target, long deadlineNanos) {
    this.requestId = requestId;
    this.target = target;
    this.deadlineNanos = deadlineNanos;
  }

  long requestId() {
    return requestId;
  }

  String target() {
    return target;
  }

  boolean isTimedOut(long nowNanos) {
    return nowNanos - deadlineNanos >= 0;
  }

  /** Returns whether the target was sent TimeoutNow and may have started an election. */
  boolean isTimeoutNowSent() {
    return timeoutNowSent;
  }

  void markTimeoutNowSent() {
    timeoutNowSent = true;
  }
}
