package org.hickoryspar.kernel.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.jspecify.annotations.Nullable;

/** Periodically reports to the listener why groups wait. */
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
   * Reports that a group waits, unless it has not waited for long or was reported recently.
   *
   * @param suitableMinions number of minions that may run the group, regardless of free resources
   * @param forecast the expected start, null if it is unknown
   */
  void reportWait(
      WaitingStep waitingStep,
      TaskGroup group,
      int suitableMinions,
      @Nullable Forecast forecast,
      long nowMillis,
      long wallMillis) {
    long waitedMillis = wallMillis - waitingStep.dueMillis();
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
        firstTaskOf(waitingStep, group),
        "reason",
        reason(suitableMinions, forecast),
        "waitedMillis",
        waitedMillis,
        "tasks",
        group.size(),
        "demand",
        waitingStep.demand(),
        "suitableMinions",
        suitableMinions,
        "expectedInMillis",
        forecast == null ? -1 : forecast.startMillis() - nowMillis);
  }

  private static String firstTaskOf(WaitingStep waitingStep, TaskGroup group) {
    return new TaskRun(
            waitingStep.workflow().id(),
            waitingStep.occurrence(),
            waitingStep.stepIndex(),
            group.firstTask(),
            group.lastRun() + 1)
        .toString();
  }

  private static String reason(int suitableMinions, @Nullable Forecast forecast) {
    if (suitableMinions == 0) {
      return "no suitable minion";
    }
    return forecast == null ? "groups of higher rank have precedence" : "the resources are in use";
  }

  /** Removes a group that has been placed. */
  void remove(TaskGroup group) {
    lastReportMillis.remove(group);
  }

  /** Removes groups that ended before they started. */
  void sweep(long nowMillis) {
    lastReportMillis.values().removeIf(lastMillis -> nowMillis - lastMillis > RETENTION_MILLIS);
  }
}
