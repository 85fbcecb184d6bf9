package org.hickoryspar.kernel.dispatch;

import java.util.HashMap;
import java.util.Map;

/** Estimates the remaining time of active runs. Valid for one planning round. */
final class RemainingTimes {

  /** Lower bound of an estimate; applies to a run that has exceeded its estimated run time. */
  private static final long MIN_REMAINING_MILLIS = 500;

  private final RunTimeEstimates runTimeEstimates;
  private final long stopMillis;
  private final long nowMillis;
  private final Map<ActiveRun, Long> remainingMillisByRun = new HashMap<>();

  /**
   * Creates the estimates of one planning round.
   *
   * @param stopMillis time that a run takes to stop
   */
  RemainingTimes(RunTimeEstimates runTimeEstimates, long stopMillis, long nowMillis) {
    this.runTimeEstimates = runTimeEstimates;
    this.stopMillis = stopMillis;
    this.nowMillis = nowMillis;
  }

  /** Returns the estimated time until a run ends, in milliseconds. */
  long remainingMillis(ActiveRun run) {
    Long remaining = remainingMillisByRun.get(run);
    if (remaining == null) {
      remaining = estimate(run);
      remainingMillisByRun.put(run, remaining);
    }
    return remaining;
  }

  private long estimate(ActiveRun run) {
    if (run.isStopRequested()) {
      return stopMillis;
    }
    long byProgressMillis = -1;
    for (Member member : run.members()) {
      if (!member.isEnded()) {
        byProgressMillis = Math.max(byProgressMillis, member.progress().remainingMillis(nowMillis));
      }
    }
    long remainingMillis =
        byProgressMillis >= 0
            ? byProgressMillis
            : runTimeEstimates.estimateMillis(run) - run.runningMillis(nowMillis);
    return Math.max(MIN_REMAINING_MILLIS, remainingMillis);
  }
}
