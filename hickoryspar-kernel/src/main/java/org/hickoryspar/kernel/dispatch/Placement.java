package org.hickoryspar.kernel.dispatch;

import java.util.List;
import org.hickoryspar.kernel.workflow.TaskGroup;

/**
 * The assignment of the tasks of a group to minions.
 *
 * @param waitingStep the step that the group belongs to
 * @param group the group
 * @param minions the minion of each task
 */
record Placement(WaitingStep waitingStep, TaskGroup group, List<Minion> minions) {

  /** Returns whether all minions provide a service. */
  boolean isWithin(String service) {
    return minions.stream().allMatch(minion -> minion.service().equals(service));
  }
}
