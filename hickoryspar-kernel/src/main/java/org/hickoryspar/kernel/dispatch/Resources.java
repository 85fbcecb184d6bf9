package org.hickoryspar.kernel.dispatch;

import org.hickoryspar.protocol.TaskDemand;

/**
 * Amounts of the resources of a minion or a task. A difference may be negative if more is allocated
 * than the minion has.
 *
 * @param cpuMillicores processor time in thousandths of a core
 * @param memoryMegabytes memory in megabytes
 * @param accelerators whole accelerators
 */
record Resources(long cpuMillicores, long memoryMegabytes, long accelerators) {

  static final Resources NONE = new Resources(0, 0, 0);

  static Resources of(TaskDemand demand) {
    return new Resources(
        demand.getCpuMillicores(), demand.getMemoryMegabytes(), demand.getAccelerators());
  }

  Resources plus(Resources other) {
    return new Resources(
        cpuMillicores + other.cpuMillicores,
        memoryMegabytes + other.memoryMegabytes,
        accelerators + other.accelerators);
  }

  Resources minus(Resources other) {
    return new Resources(
        cpuMillicores - other.cpuMillicores,
        memoryMegabytes - other.memoryMegabytes,
        accelerators - other.accelerators);
  }

  /** Returns the minimum of both amounts for each resource. */
  Resources min(Resources other) {
    return new Resources(
        Math.min(cpuMillicores, other.cpuMillicores),
        Math.min(memoryMegabytes, other.memoryMegabytes),
        Math.min(accelerators, other.accelerators));
  }

  /** Returns whether no resource of this amount exceeds that of the available amount. */
  boolean fitsIn(Resources available) {
    return cpuMillicores <= available.cpuMillicores
        && memoryMegabytes <= available.memoryMegabytes
        && accelerators <= available.accelerators;
  }

  /** Returns whether a demand fits; a negative amount of a resource counts as 0. */
  boolean canFit(Resources demand) {
    return demand.cpuMillicores <= Math.max(0, cpuMillicores)
        && demand.memoryMegabytes <= Math.max(0, memoryMegabytes)
        && demand.accelerators <= Math.max(0, accelerators);
  }

  /** Returns how many tasks of a demand fit, at most {@code limit}. */
  int countFitting(Resources demand, int limit) {
    long count = limit;
    count = Math.min(count, countFitting(cpuMillicores, demand.cpuMillicores, limit));
    count = Math.min(count, countFitting(memoryMegabytes, demand.memoryMegabytes, limit));
    count = Math.min(count, countFitting(accelerators, demand.accelerators, limit));
    return (int) Math.max(0, count);
  }

  private static long countFitting(long available, long perTask, int limit) {
    return perTask == 0 ? limit : Math.max(0, available) / perTask;
  }
}
