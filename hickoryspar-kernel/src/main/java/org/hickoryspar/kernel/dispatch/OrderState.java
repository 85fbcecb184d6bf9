package org.hickoryspar.kernel.dispatch;

/** Whether an order was sent and answered. */
final class OrderState {

  private int sent;
  private int answered;
  private boolean outstanding;
  private long firstSentMillis = Member.NEVER_MILLIS;
  private long lastSentMillis = Member.NEVER_MILLIS;
  private long doneMillis = Member.NEVER_MILLIS;

  void send(long nowMillis) {
    if (sent == 0) {
      firstSentMillis = nowMillis;
    }
    sent++;
    outstanding = true;
    lastSentMillis = nowMillis;
  }

  void answered() {
    answered++;
    outstanding = false;
  }

  void done(long nowMillis) {
    answered++;
    outstanding = false;
    doneMillis = nowMillis;
  }

  boolean wasSent() {
    return sent > 0;
  }

  /** Returns whether an order was sent that may still be carried out. */
  boolean mayArrive() {
    return sent > answered;
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
