package org.hickoryspar.standins.platform;

import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Faults of the stand-in platform, replaced as a whole by {@code POST /faults}.
 *
 * @param failTasksOn workers on which every task fails as soon as it starts
 * @param silentWorkers workers that answer no call; their tasks go on until the lease ends
 * @param ignoreStopsOn workers that run on after a stop, until the lease ends
 * @param removedDataCentres data centres whose workers have left
 * @param refusedPrepares number of prepare calls that will be refused
 * @param callDelayMillis delay of each call
 */
public record PlatformFaults(
    Set<String> failTasksOn,
    Set<String> silentWorkers,
    Set<String> ignoreStopsOn,
    Set<String> removedDataCentres,
    int refusedPrepares,
    long callDelayMillis) {

  /** No faults. */
  public static final PlatformFaults NONE =
      new PlatformFaults(Set.of(), Set.of(), Set.of(), Set.of(), 0, 0);

  /** Copies the sets; a missing set is empty. */
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
