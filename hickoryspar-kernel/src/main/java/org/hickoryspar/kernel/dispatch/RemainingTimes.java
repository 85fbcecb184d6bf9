package org.hickoryspar.kernel.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/** Estimates the remaining time of active runs. Valid for one planning round. */
final class RemainingTimes {

  /** The run time of work that does not end by itself; sums of a few such times do not overflow. */
  static final long UNBOUNDED_MILLIS = Long.MAX_VALUE / 4;

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
    if (run.step().getLongRunning()) {
      return UNBOUNDED_MILLIS;
    }
    OptionalLong byProgress = remainingMillisByProgress(run);
    if (byProgress.isEmpty()) {
      return runTimeEstimates.remainingMillis(run, nowMillis);
    }
    // A run that should have ended may have stalled: it is expected to take as long again as it is
    // overdue.
    return Math.max(1, Math.abs(byProgress.getAsLong()));
  }

  // A gang ends together, so the slowest member decides.
  private OptionalLong remainingMillisByProgress(ActiveRun run) {
    return run.members().stream()
        .filter(member -> !member.isEnded())
        .map(member -> member.progress().remainingMillis(nowMillis))
        .flatMapToLong(OptionalLong::stream)
        .max();
  }
}
