package org.hickoryspar.kernel.scheduling;

/**
 * An amount of resources of one worker or one task.
 *
 * @param cores processor cores
 * @param memoryMegabytes memory in megabytes (10^6 bytes)
 * @param accelerators whole accelerators
 */
public record ResourceVector(int cores, int memoryMegabytes, int accelerators) {

  /** The empty amount. */
  public static final ResourceVector NONE = new ResourceVector(0, 0, 0);

  /**
   * Checks the components.
   *
   * @throws IllegalArgumentException if a component is negative
   */
  public ResourceVector {
    if (cores < 0 || memoryMegabytes < 0 || accelerators < 0) {
      throw new IllegalArgumentException("negative resource amount");
    }
  }

  /**
   * Adds another amount.
   *
   * @param other the amount to add
   * @return the sum
   */
  public ResourceVector plus(ResourceVector other) {
    return new ResourceVector(
        cores + other.cores,
        memoryMegabytes + other.memoryMegabytes,
        accelerators + other.accelerators);
  }

  /**
   * Subtracts another amount that fits in this one.
   *
   * @param other the amount to subtract
   * @return the difference
   * @throws IllegalArgumentException if {@code other} does not fit
   */
  public ResourceVector minus(ResourceVector other) {
    return new ResourceVector(
        cores - other.cores,
        memoryMegabytes - other.memoryMegabytes,
        accelerators - other.accelerators);
  }

  /**
   * Multiplies this amount.
   *
   * @param count the factor, not negative
   * @return this amount, {@code count} times
   */
  public ResourceVector times(int count) {
    return new ResourceVector(cores * count, memoryMegabytes * count, accelerators * count);
  }

  /**
   * Returns whether this amount fits in another.
   *
   * @param available the amount that is available
   * @return true if no component exceeds that of {@code available}
   */
  public boolean fitsIn(ResourceVector available) {
    return cores <= available.cores
        && memoryMegabytes <= available.memoryMegabytes
        && accelerators <= available.accelerators;
  }
}
