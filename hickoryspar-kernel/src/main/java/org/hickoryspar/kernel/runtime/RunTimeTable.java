package org.hickoryspar.kernel.runtime;

import static java.util.Objects.requireNonNull;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import org.hickoryspar.protocol.RunTimeKeyRecord;
import org.hickoryspar.protocol.RunTimeTableRecord;
import org.jspecify.annotations.Nullable;

/**
 * The replicated table of what finished runs tell of run times. It learns in the order of the
 * replicated log and in integer arithmetic, so that all replicas of the table are equal. Used by
 * one thread at a time.
 *
 * <p>The table holds at most {@link #MAX_KEYS} keys; the key that has not learned for longest is
 * dropped first. A key takes {@link #MAX_KEY_BYTES} in a snapshot at most.
 */
public final class RunTimeTable {

  /** The most keys that are held. */
  public static final int MAX_KEYS = 1_024;

  /** The most that one key takes in a snapshot. */
  public static final int MAX_KEY_BYTES = 1_100;

  /** The longest run time that is told from longer ones. */
  private static final long MAX_RUN_MILLIS = 1L << 32;

  /** The ratio 1 on the scale of ratios, which are run times in relation to declared times. */
  static final long RATIO_ONE = 1L << 16;

  /** The tasks of a step that do not form a gang count as one run, but for very wide steps. */
  private static final int MAX_TASKS_PER_RUN = 64;

  private final Map<Long, KeyStatistics> statisticsByKey = new LinkedHashMap<>();

  /** Creates a table without runs, the state before the first event. */
  public RunTimeTable() {}

  /**
   * Learns from a run that was whole: it ended as done and did not resume from a checkpoint.
   *
   * @param profile what the run has in common with others
   * @param declaredMillis the declared run time in milliseconds, at least 1
   * @param tasks number of the tasks of the step
   * @param runMillis the run time in milliseconds, at least 1
   */
  public void learn(RunProfile profile, long declaredMillis, int tasks, long runMillis) {
    requireNonNull(profile, "profile is null");
    long boundedMillis = Math.min(MAX_RUN_MILLIS, runMillis);
    int runTimeBin = LogScale.binOf(boundedMillis);
    int ratioBin = LogScale.binOf(boundedMillis * RATIO_ONE / declaredMillis);
    long weight = weightOf(profile, tasks);
    for (KeyLevel level : KeyLevel.LEARNED) {
      long key = profile.keyAt(level);
      KeyStatistics known = statisticsByKey.remove(key);
      KeyStatistics statistics = known == null ? new KeyStatistics() : known;
      statistics.learn(runTimeBin, ratioBin, weight);
      statisticsByKey.put(key, statistics);
    }
    Iterator<Long> oldestFirst = statisticsByKey.keySet().iterator();
    while (statisticsByKey.size() > MAX_KEYS) {
      oldestFirst.next();
      oldestFirst.remove();
    }
  }

  // The tasks of a step resemble each other more than those of other workflows, so that one wide
  // step must not displace what is known of all others.
  static long weightOf(RunProfile profile, int tasks) {
    int tasksPerRun =
        profile.gangSizeLog2() >= 0 ? 1 : Math.min(MAX_TASKS_PER_RUN, Math.max(1, tasks));
    return DecayedHistogram.RUN_WEIGHT / tasksPerRun;
  }

  @Nullable KeyStatistics find(long key) {
    return statisticsByKey.get(key);
  }

  /**
   * Returns the number of keys.
   *
   * @return the number, at most {@link #MAX_KEYS}
   */
  public int size() {
    return statisticsByKey.size();
  }

  /**
   * Returns a snapshot of the table.
   *
   * @return the record for {@link #restore}
   */
  public RunTimeTableRecord toRecord() {
    RunTimeTableRecord.Builder record = RunTimeTableRecord.newBuilder();
    statisticsByKey.forEach((key, statistics) -> record.addKeys(statistics.toRecord(key)));
    return record.build();
  }

  /**
   * Replaces the contents of the table with a snapshot.
   *
   * @param record the record returned by {@link #toRecord}
   */
  public void restore(RunTimeTableRecord record) {
    requireNonNull(record, "record is null");
    statisticsByKey.clear();
    for (RunTimeKeyRecord keyRecord : record.getKeysList()) {
      statisticsByKey.put(keyRecord.getKey(), KeyStatistics.restore(keyRecord));
    }
  }
}
