package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickoryspar.kernel.dispatch.order.TaskRun;

/**
 * Start orders to a minion without a response. Such an order may take effect seconds later, even in
 * the next life of the minion, which has a new clock and no record of earlier runs.
 */
final class UnansweredStarts {

  /** An order that has not taken effect after this time never will. */
  static final long MAX_DELIVERY_DELAY_MILLIS = 15_000;

  private final Map<TaskRun, PendingStart> pendingByRun = new HashMap<>();

  void recordSent(TaskRun taskRun, long nowMillis) {
    PendingStart previous = pendingByRun.get(taskRun);
    pendingByRun.put(
        taskRun, new PendingStart(previous == null ? 1 : previous.orderCount + 1, nowMillis));
  }

  void recordResponse(TaskRun taskRun) {
    pendingByRun.computeIfPresent(
        taskRun,
        (run, previous) ->
            previous.orderCount == 1
                ? null
                : new PendingStart(previous.orderCount - 1, previous.lastSentMillis));
  }

  /** Takes over the orders of an earlier life of the minion that may still take effect. */
  void inherit(UnansweredStarts earlier, long nowMillis) {
    earlier.removeExpired(nowMillis);
    earlier.pendingByRun.forEach(pendingByRun::putIfAbsent);
  }

  /** Returns the runs whose start may still take effect. */
  List<TaskRun> pendingRuns(long nowMillis) {
    removeExpired(nowMillis);
    return new ArrayList<>(pendingByRun.keySet());
  }

  void removeExpired(long nowMillis) {
    pendingByRun
        .values()
        .removeIf(start -> nowMillis - start.lastSentMillis > MAX_DELIVERY_DELAY_MILLIS);
  }

  private record PendingStart(int orderCount, long lastSentMillis) {}
}
