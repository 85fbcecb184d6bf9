package org.hickoryspar.kernel.fleet;

import static java.util.Objects.requireNonNull;

import org.hickoryspar.kernel.scheduling.GangShape;

/**
 * A gang shape that a team can always reclaim.
 *
 * @param name name of the guarantee, unique in its team
 * @param shape shape of the guaranteed gangs
 * @param count number of gangs guaranteed at the same time, at least 1
 */
public record Guarantee(String name, GangShape shape, int count) {

  /**
   * Rejects null components and a count below 1.
   *
   * @throws NullPointerException if {@code name} or {@code shape} is null
   * @throws IllegalArgumentException if {@code count} is below 1
   */
  public Guarantee {
    requireNonNull(name, "name is null");
    requireNonNull(shape, "shape is null");
    if (count < 1) {
      throw new IllegalArgumentException("count must be at least 1, found " + count);
    }
  }
}
