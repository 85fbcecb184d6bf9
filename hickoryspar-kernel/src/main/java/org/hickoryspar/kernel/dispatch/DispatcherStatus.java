package org.hickoryspar.kernel.dispatch;

import java.util.Collection;
import java.util.List;

/**
 * Numbers of minions, groups and accelerators by state, as seen by the dispatcher at one time.
 *
 * @param usableMinions minions that accept work
 * @param suspectMinions minions whose last lease renewal failed
 * @param isolatedMinions minions that are avoided because of failures
 * @param drainingMinions minions that drain or are about to end
 * @param provisionalMinions minions known only from an old report or from their runs
 * @param slowMinions those of the usable minions that are clearly slower than the others
 * @param waitingGroups groups of tasks that are ready and not placed
 * @param runningGroups groups of tasks to which resources are allocated
 * @param accelerators accelerators of the usable minions
 * @param freeAccelerators accelerators of the usable minions that are neither allocated nor
 *     reserved for pending placements
 * @param longestIdleWaitMillis the longest time for which a group has been waiting that could start
 *     on idle capacity against a preference
 * @param highestPressurePercent the work that waits and runs, as a share of what can be done until
 *     it is due, in percent; the highest of all services
 * @param overloadedServices services whose work has exceeded their room and does not fit yet
 * @param runTimeKeys keys by which finished runs are remembered
 */
public record DispatcherStatus(
    int usableMinions,
    int suspectMinions,
    int isolatedMinions,
    int drainingMinions,
    int provisionalMinions,
    int slowMinions,
    int waitingGroups,
    int runningGroups,
    long accelerators,
    long freeAccelerators,
    long longestIdleWaitMillis,
    int highestPressurePercent,
    int overloadedServices,
    int runTimeKeys) {

  static DispatcherStatus of(
      Collection<Minion> minions,
      List<WaitingStep> waitingSteps,
      int runningGroups,
      long longestIdleWaitMillis,
      int highestPressurePercent,
      int overloadedServices,
      int runTimeKeys,
      long nowMillis) {
    int usable = 0;
    int suspect = 0;
    int isolated = 0;
    int draining = 0;
    int provisional = 0;
    int slow = 0;
    long accelerators = 0;
    long free = 0;
    for (Minion minion : minions) {
      if (minion.report().getDraining() || minion.isLeaving()) {
        draining++;
      } else if (minion.lease().isSuspect()) {
        suspect++;
      } else if (minion.isProvisional()) {
        provisional++;
      } else if (minion.health().isIsolated(nowMillis)) {
        isolated++;
      } else if (minion.acceptsWork()) {
        usable++;
        slow += minion.speed().isSlow() ? 1 : 0;
        accelerators += minion.capacity().accelerators();
        free += minion.free().accelerators();
      }
    }
    int waitingGroups = waitingSteps.stream().mapToInt(step -> step.groups().size()).sum();
    return new DispatcherStatus(
        usable,
        suspect,
        isolated,
        draining,
        provisional,
        slow,
        waitingGroups,
        runningGroups,
        accelerators,
        free,
        longestIdleWaitMillis,
        highestPressurePercent,
        overloadedServices,
        runTimeKeys);
  }
}
