package org.hickoryspar.kernel.dispatch;

/**
 * How soon the groups of a step must start.
 *
 * @param priority priority of the queue; 0 is the highest
 * @param targetStatus the best result that the workflow can still achieve
 * @param latestStartMillis latest start for that result, in milliseconds since the epoch
 * @param estimatedRunMillis median of the expected run time of each group
 * @param promisedRunMillis time within which a run of each group is promised to end
 * @param isGuaranteed whether the work is covered by the team's guarantee and may preempt at any
 *     cost
 */
record Urgency(
    int priority,
    TargetStatus targetStatus,
    long latestStartMillis,
    long estimatedRunMillis,
    long promisedRunMillis,
    boolean isGuaranteed) {

  /** Whether a workflow can still meet its completion target, best first. */
  enum TargetStatus {
    /** The workflow can complete within its target. */
    IN_TIME,
    /** The workflow can complete while a late result is still useful. */
    LATE,
    /** The result is of little use; the workflow runs only on spare resources. */
    OVERDUE
  }
}
