package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Starts that were sent to a minion and not answered. Such an order may be carried out seconds
 * later, even by the next life of the minion, whose clock and memory of runs begin anew.
 */
final class UnansweredStarts {

  /** An order that was not carried out after this time never will be. */
  private static final long MAX_DELIVERY_DELAY_MILLIS = 15_000;

  private final Map<TaskRun, PendingStart> pendingByRun = new HashMap<>();

  void recordSent(TaskRun taskRun, long nowMillis) {
    PendingStart previous = pendingByRun.get(taskRun);
    pendingByRun.put(
        taskRun, new PendingStart(previous == null ? 1 : previous.orders + 1, nowMillis));
  }

  void recordResponse(TaskRun taskRun) {
    pendingByRun.computeIfPresent(
        taskRun,
        (run, previous) ->
            previous.orders == 1
                ? null
                : new PendingStart(previous.orders - 1, previous.lastSentMillis));
  }

  /** Returns the runs whose starts may still be carried out. */
  List<TaskRun> pendingRuns(long nowMillis) {
    removeExpired(nowMillis);
    return new ArrayList<>(pendingByRun.keySet());
  }

  void removeExpired(long nowMillis) {
    pendingByRun
        .values()
        .removeIf(start -> nowMillis - start.lastSentMillis > MAX_DELIVERY_DELAY_MILLIS);
  }

  private record PendingStart(int orders, long lastSentMillis) {}
}
