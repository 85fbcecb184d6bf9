package org.hickoryspar.kernel.runtime;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;

/**
 * Runs that go on, by key and by how long they have gone on. A run that lasts longer than expected
 * raises what is expected of its like before any of them has ended.
 */
public final class RunningRuns {

  private static final double[] NONE = {};

  private final Map<RunProfile, Counts> countsByProfile = new HashMap<>();
  private final Map<Long, Counts> countsByKey = new HashMap<>();

  /** Creates a collection without runs. */
  public RunningRuns() {}

  /**
   * Adds a whole run, one that did not resume from a checkpoint.
   *
   * @param profile what the run has in common with others
   * @param declaredMillis the declared run time in milliseconds, at least 1
   * @param tasks number of the tasks of the step
   * @param elapsedMillis for how long the run has gone on, at least 0
   */
  public void add(RunProfile profile, long declaredMillis, int tasks, long elapsedMillis) {
    requireNonNull(profile, "profile is null");
    double runs =
        (double) RunTimeTable.weightOf(profile, tasks) / (double) DecayedHistogram.RUN_WEIGHT;
    countsByProfile
        .computeIfAbsent(profile, p -> new Counts())
        .add(
            LogScale.binOf(elapsedMillis),
            LogScale.binOf(elapsedMillis * RunTimeTable.RATIO_ONE / declaredMillis),
            runs);
  }

  /** Sums up the runs of each key; to be called once, after all runs have been added. */
  void sumByKey() {
    countsByProfile.forEach(
        (profile, counts) -> {
          for (KeyLevel level : KeyLevel.LEARNED) {
            countsByKey.computeIfAbsent(profile.keyAt(level), k -> new Counts()).addAll(counts);
          }
        });
    countsByProfile.clear();
  }

  /** Returns the runs of a key by the bin of the time that they have gone on; may be empty. */
  double[] byRunTime(long key) {
    Counts counts = countsByKey.get(key);
    return counts == null ? NONE : counts.byRunTime;
  }

  /** Returns the runs of a key by the bin of that time in relation to the declared time. */
  double[] byRatio(long key) {
    Counts counts = countsByKey.get(key);
    return counts == null ? NONE : counts.byRatio;
  }

  private static final class Counts {

    private final double[] byRunTime = new double[LogScale.BINS];
    private final double[] byRatio = new double[LogScale.BINS];

    void add(int runTimeBin, int ratioBin, double runs) {
      byRunTime[runTimeBin] += runs;
      byRatio[ratioBin] += runs;
    }

    void addAll(Counts others) {
      for (int bin = 0; bin < LogScale.BINS; bin++) {
        byRunTime[bin] += others.byRunTime[bin];
        byRatio[bin] += others.byRatio[bin];
      }
    }
  }
}
