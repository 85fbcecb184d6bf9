package org.hickoryspar.kernel.minion;

import static java.util.Objects.requireNonNull;

/**
 * Decides whether a run on a slow minion is stopped to be started anew elsewhere. The work that is
 * done so far is lost, so the rest must take longer here than the whole run there, by a clear
 * margin for what is not known of either.
 */
public final class MoveRule {

  /** The rest of the run must take this many times as long as the whole run elsewhere. */
  private static final double MIN_GAIN_FACTOR = 1.5;

  /** Time to stop a run and to start it elsewhere. */
  private static final long RESTART_MILLIS = 1_000;

  private MoveRule() {}

  /**
   * Returns whether a move is worthwhile.
   *
   * @param remainingMillis time that the run still takes by its progress, in milliseconds
   * @param wholeRunMillis time that the whole run takes elsewhere, in milliseconds
   * @return true if the run would end clearly earlier elsewhere
   */
  public static boolean isWorthwhile(long remainingMillis, long wholeRunMillis) {
    return remainingMillis > MIN_GAIN_FACTOR * wholeRunMillis + RESTART_MILLIS;
  }

  /**
   * Estimates the whole run elsewhere. What is expected of like work is not relied on alone: the
   * run may be a long one on any minion, and not slow because of this one.
   *
   * @param baseline the runs on all minions of the service
   * @param expectedMillis expected time of the run, in milliseconds
   * @param totalMillis time of the whole run on its slow minion by its progress, in milliseconds
   * @param slowdown how much longer work takes on the slow minion, a factor of 1 or more
   * @return the longer one of the time that such a run mostly takes, and of the time that this run
   *     would take if its minion were not slow, in milliseconds
   */
  public static long wholeRunMillis(
      SpeedBaseline baseline, long expectedMillis, long totalMillis, double slowdown) {
    long typicalMillis = requireNonNull(baseline, "baseline is null").typicalMillis(expectedMillis);
    return Math.max(typicalMillis, (long) (totalMillis / Math.max(1, slowdown)));
  }
}
