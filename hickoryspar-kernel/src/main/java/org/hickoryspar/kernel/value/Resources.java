package org.hickoryspar.kernel.value;

import static java.util.Objects.requireNonNull;

import org.hickoryspar.protocol.TaskDemand;

/**
 * Amounts of the resources of a minion, a task or a team. A difference may be negative if more is
 * allocated than there is.
 *
 * @param cpuMillicores processor time in thousandths of a core
 * @param memoryMegabytes memory in megabytes
 * @param accelerators whole accelerators
 */
public record Resources(long cpuMillicores, long memoryMegabytes, long accelerators) {

  /** No resources. */
  public static final Resources NONE = new Resources(0, 0, 0);

  /**
   * Returns the resources that one task demands.
   *
   * @param demand the demand as submitted
   * @return the same amounts
   */
  public static Resources of(TaskDemand demand) {
    requireNonNull(demand, "demand is null");
    return new Resources(
        demand.getCpuMillicores(), demand.getMemoryMegabytes(), demand.getAccelerators());
  }

  /**
   * Returns the sum of both amounts.
   *
   * @param other the amount to add
   * @return the sum for each resource
   */
  public Resources plus(Resources other) {
    return new Resources(
        cpuMillicores + other.cpuMillicores,
        memoryMegabytes + other.memoryMegabytes,
        accelerators + other.accelerators);
  }

  /**
   * Returns the difference of both amounts.
   *
   * @param other the amount to subtract
   * @return the difference for each resource, which may be negative
   */
  public Resources minus(Resources other) {
    return new Resources(
        cpuMillicores - other.cpuMillicores,
        memoryMegabytes - other.memoryMegabytes,
        accelerators - other.accelerators);
  }

  /**
   * Returns a multiple of this amount.
   *
   * @param factor the factor
   * @return the product for each resource
   */
  public Resources times(long factor) {
    return new Resources(cpuMillicores * factor, memoryMegabytes * factor, accelerators * factor);
  }

  /**
   * Returns the minimum of both amounts for each resource.
   *
   * @param other the amount to compare with
   * @return the minimum for each resource
   */
  public Resources min(Resources other) {
    return new Resources(
        Math.min(cpuMillicores, other.cpuMillicores),
        Math.min(memoryMegabytes, other.memoryMegabytes),
        Math.min(accelerators, other.accelerators));
  }

  /**
   * Returns whether no resource of this amount exceeds that of the available amount.
   *
   * @param available the available amount
   * @return true if this amount fits
   */
  public boolean fitsIn(Resources available) {
    return cpuMillicores <= available.cpuMillicores
        && memoryMegabytes <= available.memoryMegabytes
        && accelerators <= available.accelerators;
  }

  /**
   * Returns whether a demand fits into this amount; a negative amount of a resource counts as 0.
   *
   * @param demand the demand
   * @return true if the demand fits
   */
  public boolean canFit(Resources demand) {
    return demand.cpuMillicores <= Math.max(0, cpuMillicores)
        && demand.memoryMegabytes <= Math.max(0, memoryMegabytes)
        && demand.accelerators <= Math.max(0, accelerators);
  }

  /**
   * Returns how many tasks of a demand fit into this amount.
   *
   * @param demand demand of one task
   * @param limit the largest number of interest
   * @return the number of tasks, from 0 to {@code limit}
   */
  public int countFitting(Resources demand, int limit) {
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
