package org.hickoryspar.kernel.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.jspecify.annotations.Nullable;

/** Tells the listener now and then why groups wait. */
final class WaitReporter {

  private static final long FIRST_AFTER_MILLIS = 1_000;
  private static final long REPEAT_AFTER_MILLIS = 5_000;
  private static final long FORGET_AFTER_MILLIS = 30_000;

  private final DispatchListener listener;
  private final Map<TaskGroup, Long> reported = new HashMap<>();

  WaitReporter(DispatchListener listener) {
    this.listener = listener;
  }

  /**
   * Takes note that a group found no room.
   *
   * @param suitable number of minions that suit it as a whole
   * @param forecast where it is expected to start, null if that is not known
   */
  void waits(
      WaitingStep waiting,
      TaskGroup group,
      int suitable,
      @Nullable Forecast forecast,
      long nowMillis,
      long wallMillis) {
    long waitedMillis = wallMillis - waiting.sinceMillis();
    Long last = reported.get(group);
    boolean isDue =
        last == null ? waitedMillis >= FIRST_AFTER_MILLIS : nowMillis - last >= REPEAT_AFTER_MILLIS;
    if (!isDue) {
      return;
    }
    reported.put(group, nowMillis);
    listener.happened(
        DispatchEventKind.GROUP_WAITS,
        taskOf(waiting, group),
        "reason",
        reason(suitable, forecast),
        "waitedMillis",
        waitedMillis,
        "tasks",
        group.size(),
        "demand",
        waiting.demand(),
        "suitableMinions",
        suitable,
        "expectedInMillis",
        forecast == null ? -1 : forecast.startMillis() - nowMillis);
  }

  private static String taskOf(WaitingStep waiting, TaskGroup group) {
    return new TaskRun(
            waiting.workflow().id(),
            waiting.occurrence(),
            waiting.stepIndex(),
            group.firstTask(),
            group.lastRun() + 1)
        .toString();
  }

  private static String reason(int suitable, @Nullable Forecast forecast) {
    if (suitable == 0) {
      return "no minion suits it";
    }
    return forecast == null ? "others come first" : "its room is in use";
  }

  /** Forgets a group that was given its minions or has ended. */
  void forget(TaskGroup group) {
    reported.remove(group);
  }

  /** Forgets groups that have ended without a start. */
  void sweep(long nowMillis) {
    reported.values().removeIf(lastMillis -> nowMillis - lastMillis > FORGET_AFTER_MILLIS);
  }
}
