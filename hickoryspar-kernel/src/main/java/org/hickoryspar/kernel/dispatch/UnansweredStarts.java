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
  private static final long LATEST_MILLIS = 15_000;

  private final Map<TaskRun, PendingStart> pending = new HashMap<>();

  void sent(TaskRun taskRun, long nowMillis) {
    PendingStart before = pending.get(taskRun);
    pending.put(taskRun, new PendingStart(before == null ? 1 : before.orders + 1, nowMillis));
  }

  void answered(TaskRun taskRun) {
    pending.computeIfPresent(
        taskRun,
        (run, before) ->
            before.orders == 1 ? null : new PendingStart(before.orders - 1, before.lastSentMillis));
  }

  /** Returns the runs whose starts may still be carried out. */
  List<TaskRun> mayArrive(long nowMillis) {
    forgetOld(nowMillis);
    return new ArrayList<>(pending.keySet());
  }

  void forgetOld(long nowMillis) {
    pending.values().removeIf(start -> nowMillis - start.lastSentMillis > LATEST_MILLIS);
  }

  private record PendingStart(int orders, long lastSentMillis) {}
}
