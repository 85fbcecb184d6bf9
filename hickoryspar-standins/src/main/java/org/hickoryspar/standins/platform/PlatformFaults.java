package org.hickoryspar.standins.platform;

import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Faults that the simulated platform injects; {@code POST /faults} replaces all of them.
 *
 * @param failTasksOn workers on which every task fails as soon as it starts
 * @param silentWorkers workers that do not respond to calls; their tasks continue until their
 *     leases expire
 * @param ignoreStopsOn workers that ignore stops; their tasks continue until their leases expire
 * @param removedDataCentres data centres whose workers are missing from the inventory and silent
 * @param refusedPrepares number of prepare calls to reject, starting with the next one
 * @param callDelayMillis delay of each HTTP call
 */
public record PlatformFaults(
    Set<String> failTasksOn,
    Set<String> silentWorkers,
    Set<String> ignoreStopsOn,
    Set<String> removedDataCentres,
    int refusedPrepares,
    long callDelayMillis) {

  /** Injects no faults. */
  public static final PlatformFaults NONE =
      new PlatformFaults(Set.of(), Set.of(), Set.of(), Set.of(), 0, 0);

  /**
   * Copies the sets; null, which JSON yields for a missing member, becomes the empty set.
   *
   * @throws NullPointerException if a set contains null
   */
  public PlatformFaults {
    failTasksOn = copy(failTasksOn);
    silentWorkers = copy(silentWorkers);
    ignoreStopsOn = copy(ignoreStopsOn);
    removedDataCentres = copy(removedDataCentres);
  }

  private static Set<String> copy(@Nullable Set<String> values) {
    return values == null ? Set.of() : Set.copyOf(values);
  }
}
