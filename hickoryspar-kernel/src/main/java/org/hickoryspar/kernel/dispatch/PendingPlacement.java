package org.hickoryspar.kernel.dispatch;

import java.util.List;

/**
 * Room that is kept for a group until those that use it now have stopped.
 *
 * @param placement the group and its minions
 * @param victims the runs that are being stopped for it
 * @param untilMillis when the room is no longer kept
 */
record PendingPlacement(Placement placement, List<ActiveRun> victims, long untilMillis) {

  PendingPlacement {
    victims = List.copyOf(victims);
  }

  /** Takes the room on each minion. */
  void reserve() {
    placement.minions().forEach(minion -> minion.reserve(placement.waiting().demand()));
  }

  /** Gives the room back. */
  void release() {
    placement.minions().forEach(minion -> minion.unreserve(placement.waiting().demand()));
  }

  /** Returns whether the minions have room now; the room must be given back. */
  boolean hasFreeResources() {
    List<Minion> minions = placement.minions();
    return minions.stream()
        .allMatch(
            minion -> {
              int tasks = (int) minions.stream().filter(other -> other == minion).count();
              return minion.free().countFitting(placement.waiting().demand(), tasks) >= tasks;
            });
  }
}
