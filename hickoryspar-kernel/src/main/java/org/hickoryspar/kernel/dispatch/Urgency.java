package org.hickoryspar.kernel.dispatch;

/**
 * When the groups of a step must start.
 *
 * @param priority priority of the queue, 0 comes first
 * @param prospect what can still be reached
 * @param latestStartMillis when they must start to reach it, on the time of day
 * @param expectedMillis how long each of them is expected to run
 * @param isGuaranteed whether the work is guaranteed, so that others are stopped for it
 */
record Urgency(
    int priority,
    TargetStatus targetStatus,
    long latestStartMillis,
    long estimatedRunMillis,
    boolean isGuaranteed) {

  /** What a workflow can still reach, best first. */
  enum TargetStatus {
    /** It can end within its objective. */
    IN_TIME,
    /** It can end within the time in which a late result is still of use. */
    LATE,
    /** Its result is of little use; it runs when others leave room. */
    OVERDUE
  }
}
