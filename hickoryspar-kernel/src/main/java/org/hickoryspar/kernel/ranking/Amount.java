package org.hickoryspar.kernel.ranking;

import org.hickoryspar.kernel.value.Resources;

/**
 * Amounts of resources, or of resources multiplied by a time.
 *
 * @param cpu processor time, in thousandths of a core
 * @param memory memory, in megabytes
 * @param accelerators accelerators
 */
record Amount(double cpu, double memory, double accelerators) {

  static final Amount NONE = new Amount(0, 0, 0);

  static Amount of(Resources resources) {
    return new Amount(
        resources.cpuMillicores(), resources.memoryMegabytes(), resources.accelerators());
  }

  Amount plus(Amount other) {
    return new Amount(cpu + other.cpu, memory + other.memory, accelerators + other.accelerators);
  }

  Amount minus(Amount other) {
    return plus(other.times(-1));
  }

  Amount times(long factor) {
    return new Amount(cpu * factor, memory * factor, accelerators * factor);
  }

  /**
   * Returns the largest of the shares that this amount has of each resource of another one. A
   * resource of which the other one has nothing does not count.
   */
  double highestShareOf(Amount whole) {
    double share = share(cpu, whole.cpu);
    share = Math.max(share, share(memory, whole.memory));
    return Math.max(share, share(accelerators, whole.accelerators));
  }

  private static double share(double part, double whole) {
    return whole <= 0 ? 0 : Math.max(0, part) / whole;
  }
}
