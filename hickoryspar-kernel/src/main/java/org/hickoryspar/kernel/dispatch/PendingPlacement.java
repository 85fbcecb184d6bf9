package org.hickoryspar.kernel.dispatch;

import java.util.List;

/**
 * A placement whose resources are reserved until its victims have stopped.
 *
 * @param placement the group and its minions
 * @param victims the runs that are preempted for the group
 * @param untilMillis monotonic time at which the reservation expires
 */
record PendingPlacement(Placement placement, List<ActiveRun> victims, long untilMillis) {

  PendingPlacement {
    victims = List.copyOf(victims);
  }

  /** Reserves the demand of the group on its minions. */
  void reserve() {
    placement.minions().forEach(minion -> minion.reserve(placement.waitingStep().demand()));
  }

  /** Releases the reservation. */
  void release() {
    placement.minions().forEach(minion -> minion.unreserve(placement.waitingStep().demand()));
  }

  /** Returns whether the group fits now; the reservation must be released before the call. */
  boolean hasFreeResources() {
    List<Minion> minions = placement.minions();
    return minions.stream()
        .allMatch(
            minion -> {
              int tasks = (int) minions.stream().filter(other -> other == minion).count();
              return minion.free().countFitting(placement.waitingStep().demand(), tasks) >= tasks;
            });
  }
}
