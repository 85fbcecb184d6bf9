package org.hickoryspar.kernel.dispatch;

import java.util.HashMap;
import java.util.Map;

/** When the runs that hold room now are expected to end; valid for one round of decisions. */
final class RemainingTimes {

  /** A run that has outlasted its estimate is expected to go on for this long. */
  private static final long OVERTIME_MILLIS = 500;

  private final RunTimeEstimates estimates;
  private final long stopMillis;
  private final long nowMillis;
  private final Map<ActiveRun, Long> left = new HashMap<>();

  /**
   * Creates a horizon.
   *
   * @param stopMillis how long a run takes to stop
   */
  RemainingTimes(RunTimeEstimates estimates, long stopMillis, long nowMillis) {
    this.estimates = estimates;
    this.stopMillis = stopMillis;
    this.nowMillis = nowMillis;
  }

  /** Returns the expected time to the end of a run in milliseconds. */
  long leftMillis(ActiveRun run) {
    Long known = left.get(run);
    if (known == null) {
      known = expect(run);
      left.put(run, known);
    }
    return known;
  }

  private long expect(ActiveRun run) {
    if (run.isStopWanted()) {
      return stopMillis;
    }
    long byPace = -1;
    for (Member member : run.members()) {
      if (!member.isEnded()) {
        byPace = Math.max(byPace, member.progress().leftMillis(nowMillis));
      }
    }
    long expected = byPace >= 0 ? byPace : estimates.wholeMillis(run) - run.workedMillis(nowMillis);
    return Math.max(OVERTIME_MILLIS, expected);
  }
}
