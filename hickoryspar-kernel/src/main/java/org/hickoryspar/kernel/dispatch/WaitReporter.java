package org.hickoryspar.kernel.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.jspecify.annotations.Nullable;

/** Tells the listener now and then why groups wait. */
final class WaitReporter {

  private static final long FIRST_REPORT_MILLIS = 1_000;
  private static final long REPORT_INTERVAL_MILLIS = 5_000;
  private static final long RETENTION_MILLIS = 30_000;

  private final DispatchListener listener;
  private final Map<TaskGroup, Long> lastReportMillis = new HashMap<>();

  WaitReporter(DispatchListener listener) {
    this.listener = listener;
  }

  /**
   * Takes note that a group found no room.
   *
   * @param suitable number of minions that suit it as a whole
   * @param forecast where it is expected to start, null if that is not known
   */
  void reportWait(
      WaitingStep waiting,
      TaskGroup group,
      int suitableMinions,
      @Nullable Forecast forecast,
      long nowMillis,
      long wallMillis) {
    long waitedMillis = wallMillis - waiting.dueMillis();
    Long lastMillis = lastReportMillis.get(group);
    boolean due =
        lastMillis == null
            ? waitedMillis >= FIRST_REPORT_MILLIS
            : nowMillis - lastMillis >= REPORT_INTERVAL_MILLIS;
    if (!due) {
      return;
    }
    lastReportMillis.put(group, nowMillis);
    listener.onEvent(
        DispatchEventKind.GROUP_WAITS,
        firstTaskOf(waiting, group),
        "reason",
        reason(suitableMinions, forecast),
        "waitedMillis",
        waitedMillis,
        "tasks",
        group.size(),
        "demand",
        waiting.demand(),
        "suitableMinions",
        suitableMinions,
        "expectedInMillis",
        forecast == null ? -1 : forecast.startMillis() - nowMillis);
  }

  private static String firstTaskOf(WaitingStep waiting, TaskGroup group) {
    return new TaskRun(
            waiting.workflow().id(),
            waiting.occurrence(),
            waiting.stepIndex(),
            group.firstTask(),
            group.lastRun() + 1)
        .toString();
  }

  private static String reason(int suitableMinions, @Nullable Forecast forecast) {
    if (suitableMinions == 0) {
      return "no minion suits it";
    }
    return forecast == null ? "others come first" : "its room is in use";
  }

  /** Forgets a group that was given its minions or has ended. */
  void forget(TaskGroup group) {
    lastReportMillis.remove(group);
  }

  /** Forgets groups that have ended without a start. */
  void sweep(long nowMillis) {
    lastReportMillis.values().removeIf(lastMillis -> nowMillis - lastMillis > RETENTION_MILLIS);
  }
}
