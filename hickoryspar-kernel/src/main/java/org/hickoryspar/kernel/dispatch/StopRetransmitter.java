package org.hickoryspar.kernel.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import org.hickoryspar.kernel.dispatch.order.Order;
import org.hickoryspar.kernel.dispatch.order.OrderOutcome;
import org.hickoryspar.kernel.dispatch.order.TaskRun;

/** Retransmits stops until a response arrives, so that a delayed start of the run has no effect. */
final class StopRetransmitter {

  private final long responseTimeoutMillis;
  private final Outbox outbox;
  private final Map<TaskRun, PendingStop> pendingStops = new LinkedHashMap<>();

  StopRetransmitter(long responseTimeoutMillis, Outbox outbox) {
    this.responseTimeoutMillis = responseTimeoutMillis;
    this.outbox = outbox;
  }

  void add(Minion minion, TaskRun taskRun) {
    pendingStops.put(taskRun, new PendingStop(minion, new OrderState()));
  }

  void advance(long nowMillis) {
    pendingStops.values().removeIf(stop -> stop.order.isDone());
    pendingStops.forEach(
        (taskRun, stop) -> {
          boolean awaitingResponse =
              stop.order.isOutstanding()
                  && nowMillis - stop.order.lastSentMillis() < responseTimeoutMillis;
          if (!awaitingResponse) {
            stop.order.markSent(nowMillis);
            outbox.send(new Order.Stop(stop.minion.target(), taskRun));
          }
        });
  }

  void handleOutcome(TaskRun taskRun, OrderOutcome outcome, long nowMillis) {
    PendingStop stop = pendingStops.get(taskRun);
    if (stop != null && outcome != OrderOutcome.UNKNOWN) {
      stop.order.markDone(nowMillis);
    }
  }

  /** Removes the stops for a life of a minion that has ended. */
  void removeAll(Minion minion) {
    pendingStops.values().removeIf(stop -> stop.minion == minion);
  }

  private record PendingStop(Minion minion, OrderState order) {}
}
