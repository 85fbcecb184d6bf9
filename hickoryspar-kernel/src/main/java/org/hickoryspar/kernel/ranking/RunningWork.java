package org.hickoryspar.kernel.ranking;

import static java.util.Objects.requireNonNull;

import org.hickoryspar.kernel.value.Resources;

/**
 * A task that occupies resources.
 *
 * @param demand resources of the task
 * @param isPreemptible whether waiting work that may preempt can take its place
 * @param remainingMillis expected time until it ends, in milliseconds
 */
public record RunningWork(Resources demand, boolean isPreemptible, long remainingMillis) {

  /** Checks that the demand is not null. */
  public RunningWork {
    requireNonNull(demand, "demand is null");
  }
}
