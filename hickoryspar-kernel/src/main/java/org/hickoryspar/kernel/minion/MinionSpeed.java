package org.hickoryspar.kernel.minion;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * How fast one life of a minion works: a decayed mean of the ratios of its completed runs, and
 * those that the progress of its running tasks shows. The minion is slow if the mean is beyond that
 * of the others by more than chance explains, and normal again by sound runs, or once nothing has
 * shown that it is slow for {@link #MAX_EVIDENCE_AGE_MILLIS}.
 */
public final class MinionSpeed {

  /** Evidence that is older no longer counts; without newer evidence a slow minion is normal. */
  public static final long MAX_EVIDENCE_AGE_MILLIS = 20_000;

  /** Weight that the earlier runs keep with each further one. */
  private static final double DECAY = 0.7;

  /** Weight of a running task; its progress may still change. */
  private static final double RUNNING_WEIGHT = 0.5;

  /** With less evidence there is no verdict; one odd task proves nothing. */
  private static final double MIN_WEIGHT = 1.5;

  /** Lowest spread of run times that is assumed, if all runs have been alike by chance. */
  private static final double MIN_SPREAD = 0.25;

  /** Standard errors that are put down to chance. */
  private static final double CHANCE_ERRORS = 2;

  /** A minion is slow if it takes at least this much longer beyond chance. */
  private static final double SLOW_LOG = Math.log(1.5);

  /** A slow minion is normal again below this; far from where it becomes slow. */
  private static final double RECOVERED_LOG = Math.log(1.4);

  private double weight;
  private double weightedSum;
  private long lastRunMillis;
  private long lastSlowMillis;
  private double relativeLog;
  private MinionPace pace = MinionPace.NORMAL;

  /**
   * Records a completed run.
   *
   * @param logRatio its ratio as in {@link RunTimeRatio#logOf}
   * @param nowMillis monotonic time in milliseconds
   */
  public void recordRun(double logRatio, long nowMillis) {
    dropOldRuns(nowMillis);
    weight = weight * DECAY + 1;
    weightedSum = weightedSum * DECAY + logRatio;
    lastRunMillis = nowMillis;
  }

  private void dropOldRuns(long nowMillis) {
    if (nowMillis - lastRunMillis > MAX_EVIDENCE_AGE_MILLIS) {
      weight = 0;
      weightedSum = 0;
    }
  }

  /**
   * Judges the minion anew.
   *
   * @param baseline the runs on all minions of the service
   * @param runningLogRatios the ratio of each running task, as its progress shows it
   * @param nowMillis monotonic time in milliseconds
   * @return whether the verdict has changed
   */
  public boolean assess(SpeedBaseline baseline, List<Double> runningLogRatios, long nowMillis) {
    requireNonNull(baseline, "baseline is null");
    requireNonNull(runningLogRatios, "runningLogRatios is null");
    dropOldRuns(nowMillis);
    boolean wasSlow = isSlow();
    double totalWeight = weight + RUNNING_WEIGHT * runningLogRatios.size();
    if (baseline.isKnown() && totalWeight >= MIN_WEIGHT) {
      double runningSum = runningLogRatios.stream().mapToDouble(Double::doubleValue).sum();
      relativeLog = (weightedSum + RUNNING_WEIGHT * runningSum) / totalWeight - baseline.median();
      double chance =
          CHANCE_ERRORS * Math.max(MIN_SPREAD, baseline.spread()) / Math.sqrt(totalWeight);
      judge(chance, runningLogRatios.isEmpty() ? lastRunMillis : nowMillis);
      if (!wasSlow && isSlow()) {
        replaceRunsBefore(runningSum, runningLogRatios.size(), nowMillis);
        relativeLog = Math.max(relativeLog, weightedSum / weight - baseline.median());
      }
    } else if (nowMillis - lastSlowMillis > MAX_EVIDENCE_AGE_MILLIS) {
      pace = MinionPace.NORMAL;
    }
    return isSlow() != wasSlow;
  }

  private void judge(double chance, long evidenceMillis) {
    boolean slow = isSlow() ? relativeLog >= RECOVERED_LOG : relativeLog - chance >= SLOW_LOG;
    pace = slow ? MinionPace.SLOW : MinionPace.NORMAL;
    if (slow) {
      lastSlowMillis = Math.max(lastSlowMillis, evidenceMillis);
    }
  }

  // Runs from before a minion turned slow would clear it as soon as nothing runs there any more.
  private void replaceRunsBefore(double runningSum, int runningCount, long nowMillis) {
    if (runningCount > 0 && runningSum * weight >= weightedSum * runningCount) {
      weight = Math.max(MIN_WEIGHT, RUNNING_WEIGHT * runningCount);
      weightedSum = weight * runningSum / runningCount;
      lastRunMillis = nowMillis;
    }
  }

  /**
   * Returns the verdict of the last assessment.
   *
   * @return the verdict, normal before the first one
   */
  public MinionPace pace() {
    return pace;
  }

  /**
   * Returns whether the minion was slow by the last assessment.
   *
   * @return true if the verdict is {@link MinionPace#SLOW}
   */
  public boolean isSlow() {
    return pace == MinionPace.SLOW;
  }

  /**
   * Returns how much longer work takes on this minion than on the others.
   *
   * @return a factor; 1 unless the minion is slow
   */
  public double slowdown() {
    return isSlow() ? Math.max(1, Math.exp(relativeLog)) : 1;
  }
}
