package org.hickoryspar.kernel.runtime;

import org.hickoryspar.protocol.RunTimeKeyRecord;

/** The finished runs of one key: their run times, and these in relation to the declared times. */
final class KeyStatistics {

  /**
   * By how many bits, over all runs, run times must predict better than ratios before declared
   * times are dropped: odds of two to one.
   */
  private static final double MIN_ADVANTAGE_BITS = 1;

  private final DecayedHistogram runTimes;
  private final DecayedHistogram ratios;
  private int version;

  KeyStatistics() {
    this(new DecayedHistogram(), new DecayedHistogram());
  }

  private KeyStatistics(DecayedHistogram runTimes, DecayedHistogram ratios) {
    this.runTimes = runTimes;
    this.ratios = ratios;
  }

  void learn(int runTimeBin, int ratioBin, long weight) {
    runTimes.add(runTimeBin, weight);
    ratios.add(ratioBin, weight);
    version++;
  }

  DecayedHistogram runTimes() {
    return runTimes;
  }

  DecayedHistogram ratios() {
    return ratios;
  }

  /**
   * Returns whether declared times help to predict the runs of this key; true until the runs tell
   * otherwise. The log loss of a log-normal distribution is that of its spread: half a bit a run
   * for twice the variance.
   */
  boolean prefersRatios() {
    double varianceFactor = ratios.variance() / runTimes.variance();
    double advantageBits = runTimes.totalRuns() / 2 * Math.log(varianceFactor) / Math.log(2);
    return advantageBits <= MIN_ADVANTAGE_BITS;
  }

  /** Returns a number that changes with each run of this key; not replicated. */
  int version() {
    return version;
  }

  RunTimeKeyRecord toRecord(long key) {
    return RunTimeKeyRecord.newBuilder()
        .setKey(key)
        .setRunTimes(runTimes.toRecord())
        .setRatios(ratios.toRecord())
        .build();
  }

  static KeyStatistics restore(RunTimeKeyRecord record) {
    return new KeyStatistics(
        DecayedHistogram.restore(record.getRunTimes()),
        DecayedHistogram.restore(record.getRatios()));
  }
}
