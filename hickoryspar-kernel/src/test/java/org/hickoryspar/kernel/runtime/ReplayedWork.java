package org.hickoryspar.kernel.runtime;

import java.util.Random;

/**
 * Run times of the steps of one team: log-normal about a size that differs from step to step, and
 * some of them much longer. The declared time is the size times an error that the team always makes
 * and another one that differs from step to step.
 *
 * @param name what the figures are printed under
 * @param sizeSpread spread of the sizes of the steps
 * @param runSpread spread of the run times about the size
 * @param tailShare share of the runs that take {@link #TAIL_FACTOR} times as long
 * @param declaredFactor the error that is always made
 * @param declaredSpread spread of the error that differs from step to step
 */
record ReplayedWork(
    String name,
    double sizeSpread,
    double runSpread,
    double tailShare,
    double declaredFactor,
    double declaredSpread) {

  private static final double TAIL_FACTOR = 7;
  private static final double MEDIAN_SIZE_MILLIS = 4_000;
  private static final int ORACLE_SAMPLES = 20_000;

  /** A run that has ended, with the size of its step, which nobody but an oracle knows. */
  record ReplayedRun(double sizeMillis, long declaredMillis, long runMillis) {}

  ReplayedRun next(Random random) {
    double sizeMillis = MEDIAN_SIZE_MILLIS * Math.exp(sizeSpread * random.nextGaussian());
    double error = declaredFactor * Math.exp(declaredSpread * random.nextGaussian());
    return new ReplayedRun(
        sizeMillis,
        Math.max(1, Math.round(sizeMillis * error)),
        Math.max(1, Math.round(sizeMillis * nextRatio(random))));
  }

  private double nextRatio(Random random) {
    double tail = random.nextDouble() < tailShare ? TAIL_FACTOR : 1;
    return tail * Math.exp(runSpread * random.nextGaussian());
  }

  /** Returns the true quantile of the run time in relation to the size. */
  double trueRatio(double share) {
    Random random = new Random(1);
    double[] ratios = random.doubles(ORACLE_SAMPLES).map(unused -> nextRatio(random)).toArray();
    java.util.Arrays.sort(ratios);
    return ratios[(int) (share * ORACLE_SAMPLES)];
  }
}
