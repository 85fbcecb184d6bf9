package org.hickoryspar.kernel.dispatch;

/** Counts the transmissions of an order and their responses. */
final class OrderState {

  private int sendCount;
  private int responseCount;
  private int unansweredInARow;
  private boolean outstanding;
  private long firstSentMillis = Member.NEVER_MILLIS;
  private long lastSentMillis = Member.NEVER_MILLIS;
  private long doneMillis = Member.NEVER_MILLIS;

  void markSent(long nowMillis) {
    if (sendCount == 0) {
      firstSentMillis = nowMillis;
    }
    sendCount++;
    outstanding = true;
    lastSentMillis = nowMillis;
  }

  /** Records that a transmission got no response; the order stays outstanding. */
  void markUnanswered() {
    unansweredInARow++;
  }

  /** Returns how many transmissions got no response since the last one that did. */
  int unansweredInARow() {
    return unansweredInARow;
  }

  void markAnswered() {
    responseCount++;
    unansweredInARow = 0;
    outstanding = false;
  }

  void markDone(long nowMillis) {
    responseCount++;
    unansweredInARow = 0;
    outstanding = false;
    doneMillis = nowMillis;
  }

  boolean wasSent() {
    return sendCount > 0;
  }

  /** Returns whether a transmission without a response may still take effect. */
  boolean mayStillTakeEffect() {
    return sendCount > responseCount;
  }

  boolean isDone() {
    return doneMillis != Member.NEVER_MILLIS;
  }

  boolean isOutstanding() {
    return outstanding;
  }

  long firstSentMillis() {
    return firstSentMillis;
  }

  long lastSentMillis() {
    return lastSentMillis;
  }

  long doneMillis() {
    return doneMillis;
  }
}
