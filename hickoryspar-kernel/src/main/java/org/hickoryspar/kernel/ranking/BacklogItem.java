package org.hickoryspar.kernel.ranking;

import static java.util.Objects.requireNonNull;

import org.hickoryspar.kernel.value.Resources;

/**
 * The waiting tasks of one step, as the order of work sees them.
 *
 * @param id identifier of the step
 * @param team the team that submitted the work
 * @param priority priority of the queue; 0 is the highest
 * @param chance the best result that the work can still achieve
 * @param isExempt whether the work keeps its place whatever other work waits: guaranteed work and
 *     work that does not end by itself
 * @param demand resources of all waiting tasks together
 * @param runMillis expected run time of each task in milliseconds
 * @param readyMillis since when the work waits, in milliseconds since the epoch
 * @param latestStartMillis latest start for {@code chance}, in milliseconds since the epoch
 */
public record BacklogItem(
    String id,
    String team,
    int priority,
    Chance chance,
    boolean isExempt,
    Resources demand,
    long runMillis,
    long readyMillis,
    long latestStartMillis) {

  /** The priority whose work may preempt work of lower priorities. */
  private static final int PREEMPTING_PRIORITY = 0;

  /** The best result that waiting work can still achieve, best first. */
  public enum Chance {
    /** The work can complete within its target. */
    IN_TIME,
    /** The work can complete while a late result is still useful. */
    LATE,
    /** The result is of little use. */
    OVERDUE
  }

  /** Checks that no argument is null. */
  public BacklogItem {
    requireNonNull(id, "id is null");
    requireNonNull(team, "team is null");
    requireNonNull(chance, "chance is null");
    requireNonNull(demand, "demand is null");
  }

  /**
   * Returns the time at which the work must end for its chance, in milliseconds since the epoch.
   */
  long dueMillis() {
    return latestStartMillis + runMillis;
  }

  /** Returns whether the work may take the place of running work that is preemptible. */
  boolean mayPreempt() {
    return priority == PREEMPTING_PRIORITY;
  }
}
