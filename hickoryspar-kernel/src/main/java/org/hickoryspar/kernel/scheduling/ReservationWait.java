package org.hickoryspar.kernel.scheduling;

import java.util.HashSet;
import java.util.Set;

/**
 * The wait of an equivalence class with a reservation; it goes on if the reservation moves to other
 * workers.
 *
 * <p>A reservation keeps preemptible work away for a limited time, as such work can be preempted
 * once the reserved job fits. Non-preemptible work may start in windows. The time between windows
 * doubles up to a maximum, so that non-preemptible work that is shorter than this maximum ends
 * between two of them.
 */
final class ReservationWait {

  /** Time for which a reservation keeps preemptible work from its workers. */
  static final long PREEMPTIBLE_BLOCKING_MILLIS = 3_600_000;

  /** Time from the first expected start to the first window, doubled after each window. */
  static final long MIN_WINDOW_INTERVAL_MILLIS = 3_600_000;

  /** Maximum time from the reservation, or from the end of a window, to the next window. */
  static final long MAX_WINDOW_INTERVAL_MILLIS = 24 * 3_600_000L;

  /** Time for which a window admits non-preemptible work. */
  static final long WINDOW_MILLIS = 600_000;

  /** Time between two attempts to preempt backfilled work for the reserved job. */
  static final long ATTEMPT_INTERVAL_MILLIS = 10_000;

  private final Set<String> backfilledJobIds = new HashSet<>();
  private final long admitsPreemptibleFromMillis;
  private long windowStartMillis;
  private long windowIntervalMillis = MIN_WINDOW_INTERVAL_MILLIS;
  private long nextAttemptMillis;
  private boolean admitsPreemptible;
  private boolean admitsNonPreemptible;

  ReservationWait(long nowMillis, long expectedStartMillis) {
    admitsPreemptibleFromMillis = nowMillis + PREEMPTIBLE_BLOCKING_MILLIS;
    windowStartMillis =
        Math.min(
            expectedStartMillis + MIN_WINDOW_INTERVAL_MILLIS,
            nowMillis + MAX_WINDOW_INTERVAL_MILLIS);
  }

  /** Returns whether a job may start on the reserved workers although it may end late. */
  boolean admits(boolean preemptible) {
    return preemptible ? admitsPreemptible : admitsNonPreemptible;
  }

  /** Advances to a time; returns whether other jobs are admitted than before. */
  boolean advance(long nowMillis) {
    while (nowMillis >= windowStartMillis + WINDOW_MILLIS) {
      windowIntervalMillis = Math.min(2 * windowIntervalMillis, MAX_WINDOW_INTERVAL_MILLIS);
      windowStartMillis += WINDOW_MILLIS + windowIntervalMillis;
    }
    boolean preemptible = nowMillis >= admitsPreemptibleFromMillis;
    boolean nonPreemptible = nowMillis >= windowStartMillis;
    boolean changed = preemptible != admitsPreemptible || nonPreemptible != admitsNonPreemptible;
    admitsPreemptible = preemptible;
    admitsNonPreemptible = nonPreemptible;
    return changed;
  }

  /** Returns whether backfilled work is to be preempted now if the reserved job then fits. */
  boolean isAttemptDue(long nowMillis) {
    return admitsPreemptible && !backfilledJobIds.isEmpty() && nowMillis >= nextAttemptMillis;
  }

  void recordAttempt(long nowMillis) {
    nextAttemptMillis = nowMillis + ATTEMPT_INTERVAL_MILLIS;
  }

  void recordBackfilled(String jobId) {
    backfilledJobIds.add(jobId);
  }

  void gangEnded(String jobId) {
    backfilledJobIds.remove(jobId);
  }

  boolean isBackfilled(String jobId) {
    return backfilledJobIds.contains(jobId);
  }
}
