package org.hickoryspar.kernel.dispatch;

import java.util.Collection;
import java.util.List;

/**
 * What the dispatcher believes of the fleet at a time, in numbers.
 *
 * @param usableMinions minions that get work
 * @param suspectMinions minions that do not answer
 * @param isolatedMinions minions that get no work because of failures
 * @param drainingMinions minions that are about to end
 * @param waitingGroups groups of tasks whose turn has come and that have no minions yet
 * @param runningGroups groups of tasks that hold room
 * @param accelerators accelerators of the usable minions
 * @param freeAccelerators those of them that no task holds
 */
public record DispatcherStatus(
    int usableMinions,
    int suspectMinions,
    int isolatedMinions,
    int drainingMinions,
    int waitingGroups,
    int runningGroups,
    long accelerators,
    long freeAccelerators) {

  static DispatcherStatus of(
      Collection<Minion> minions, List<WaitingStep> waiting, int runningGroups, long nowMillis) {
    int usable = 0;
    int suspect = 0;
    int isolated = 0;
    int draining = 0;
    long accelerators = 0;
    long free = 0;
    for (Minion minion : minions) {
      if (minion.report().getDraining() || minion.isLeaving()) {
        draining++;
      } else if (minion.lease().isSuspect()) {
        suspect++;
      } else if (minion.health().isIsolated(nowMillis)) {
        isolated++;
      } else if (minion.acceptsWork()) {
        usable++;
        accelerators += minion.capacity().accelerators();
        free += minion.free().accelerators();
      }
    }
    int waitingGroups = waiting.stream().mapToInt(step -> step.groups().size()).sum();
    return new DispatcherStatus(
        usable, suspect, isolated, draining, waitingGroups, runningGroups, accelerators, free);
  }
}
