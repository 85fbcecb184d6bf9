package org.hickoryspar.kernel.scheduling;

/**
 * An amount of each resource, for example of a worker, a task or a quota.
 *
 * @param cores processor cores
 * @param memoryMegabytes memory in megabytes (10^6 bytes)
 * @param accelerators whole accelerators
 */
public record ResourceVector(int cores, int memoryMegabytes, int accelerators) {

  /** No resources. */
  public static final ResourceVector NONE = new ResourceVector(0, 0, 0);

  /**
   * Rejects negative amounts.
   *
   * @throws IllegalArgumentException if a component is negative
   */
  public ResourceVector {
    if (cores < 0 || memoryMegabytes < 0 || accelerators < 0) {
      throw new IllegalArgumentException("negative resource amount");
    }
  }

  /**
   * Adds another vector; the components must not overflow.
   *
   * @param other the vector to add
   * @return the sum
   */
  public ResourceVector plus(ResourceVector other) {
    return new ResourceVector(
        cores + other.cores,
        memoryMegabytes + other.memoryMegabytes,
        accelerators + other.accelerators);
  }

  /**
   * Subtracts another vector.
   *
   * @param other the vector to subtract
   * @return the difference
   * @throws IllegalArgumentException if {@code other} does not fit in this vector
   */
  public ResourceVector minus(ResourceVector other) {
    return new ResourceVector(
        cores - other.cores,
        memoryMegabytes - other.memoryMegabytes,
        accelerators - other.accelerators);
  }

  /**
   * Multiplies each component; the products must not overflow.
   *
   * @param count the factor, not negative
   * @return the product
   */
  public ResourceVector times(int count) {
    return new ResourceVector(cores * count, memoryMegabytes * count, accelerators * count);
  }

  /**
   * Returns whether this vector fits in another.
   *
   * @param available the available resources
   * @return true if no component exceeds that of {@code available}
   */
  public boolean fitsIn(ResourceVector available) {
    return cores <= available.cores
        && memoryMegabytes <= available.memoryMegabytes
        && accelerators <= available.accelerators;
  }
}
