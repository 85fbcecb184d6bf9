package org.hickoryspar.kernel.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;

/** Stops that are sent until they are answered so that a late start finds its run stopped. */
final class StopRetransmitter {

  private final long answerTimeoutMillis;
  private final Outbox outbox;
  private final Map<TaskRun, PendingStop> guards = new LinkedHashMap<>();

  StopRetransmitter(long answerTimeoutMillis, Outbox outbox) {
    this.answerTimeoutMillis = answerTimeoutMillis;
    this.outbox = outbox;
  }

  void add(Minion minion, TaskRun taskRun) {
    guards.put(taskRun, new PendingStop(minion, new OrderState()));
  }

  void advance(long nowMillis) {
    guards.values().removeIf(guard -> guard.order.isDone());
    guards.forEach(
        (taskRun, guard) -> {
          boolean waits =
              guard.order.isOutstanding()
                  && nowMillis - guard.order.lastSentMillis() < answerTimeoutMillis;
          if (!waits) {
            guard.order.send(nowMillis);
            outbox.order(new Order.Stop(guard.minion.target(), taskRun));
          }
        });
  }

  void answered(TaskRun taskRun, OrderOutcome outcome, long nowMillis) {
    PendingStop guard = guards.get(taskRun);
    if (guard != null && outcome != OrderOutcome.UNKNOWN) {
      guard.order.done(nowMillis);
    }
  }

  /** Gives up on the guards of a minion that has ended. */
  void drop(Minion minion) {
    guards.values().removeIf(guard -> guard.minion == minion);
  }

  private record PendingStop(Minion minion, OrderState order) {}
}
