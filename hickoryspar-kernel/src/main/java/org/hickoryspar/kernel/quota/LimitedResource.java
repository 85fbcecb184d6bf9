package org.hickoryspar.kernel.quota;

import static java.util.Objects.requireNonNull;

import org.hickoryspar.kernel.value.Resources;

/** A resource that a quota limits. */
public enum LimitedResource {
  /** Processor time in thousandths of a core. */
  PROCESSOR("millicores") {
    @Override
    public long amountIn(Resources resources) {
      return requireNonNull(resources, "resources is null").cpuMillicores();
    }
  },
  /** Memory in megabytes. */
  MEMORY("megabytes of memory") {
    @Override
    public long amountIn(Resources resources) {
      return requireNonNull(resources, "resources is null").memoryMegabytes();
    }
  },
  /** Whole accelerators. */
  ACCELERATORS("accelerators") {
    @Override
    public long amountIn(Resources resources) {
      return requireNonNull(resources, "resources is null").accelerators();
    }
  };

  private final String unit;

  LimitedResource(String unit) {
    this.unit = unit;
  }

  /**
   * Returns the amount of this resource.
   *
   * @param resources amounts of all resources
   * @return the amount in the unit of this resource
   */
  public abstract long amountIn(Resources resources);

  /**
   * Returns the unit of the amounts in words.
   *
   * @return the unit, in the plural
   */
  public String unit() {
    return unit;
  }
}
