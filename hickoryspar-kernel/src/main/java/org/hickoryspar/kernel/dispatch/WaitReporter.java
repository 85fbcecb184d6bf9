package org.hickoryspar.kernel.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import org.hickoryspar.kernel.workflow.TaskGroup;

/** Periodically reports to the listener why groups wait. */
final class WaitReporter {

  private static final long FIRST_REPORT_MILLIS = 1_000;
  private static final long REPORT_INTERVAL_MILLIS = 5_000;
  private static final long RETENTION_MILLIS = 30_000;

  private final DispatchListener listener;
  private final Function<WaitingStep, String> orderOf;
  private final Map<TaskGroup, Long> lastReportMillis = new HashMap<>();

  /**
   * Creates a reporter.
   *
   * @param orderOf describes by what a waiting step is ordered among others
   */
  WaitReporter(DispatchListener listener, Function<WaitingStep, String> orderOf) {
    this.listener = listener;
    this.orderOf = orderOf;
  }

  /** Reports that a group waits, unless it has not waited for long or was reported recently. */
  void reportWait(
      WaitingStep waitingStep, TaskGroup group, WaitCause cause, long nowMillis, long wallMillis) {
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
    Forecast forecast = cause.forecast();
    listener.onEvent(
        DispatchEventKind.GROUP_WAITS,
        waitingStep.nextRunOf(group).toString(),
        "reason",
        cause.reason(),
        "waitedMillis",
        waitedMillis,
        "tasks",
        group.size(),
        "demand",
        waitingStep.demand(),
        "suitableMinions",
        cause.suitableMinions(),
        "expectedInMillis",
        forecast == null ? -1 : forecast.startMillis() - nowMillis,
        "idleCapacityMillis",
        cause.idleMillis(),
        "obstacle",
        cause.obstacle(),
        "order",
        orderOf.apply(waitingStep));
  }

  /** Reports that a group starts on idle capacity against a preference. */
  void reportPreferencesDropped(WaitingStep waitingStep, TaskGroup group, WaitCause cause) {
    listener.onEvent(
        DispatchEventKind.PREFERENCES_DROPPED,
        waitingStep.nextRunOf(group).toString(),
        "reason",
        cause.reason(),
        "idleCapacityMillis",
        cause.idleMillis(),
        "obstacle",
        cause.obstacle());
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
