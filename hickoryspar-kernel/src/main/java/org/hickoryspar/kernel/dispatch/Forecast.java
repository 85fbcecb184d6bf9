package org.hickoryspar.kernel.dispatch;

import java.util.List;

/**
 * The expected placement and start time of a group that does not fit now.
 *
 * @param minions the minion of each task
 * @param startMillis monotonic time at which the resources are expected to be free
 */
record Forecast(List<Minion> minions, long startMillis) {

  Forecast {
    minions = List.copyOf(minions);
  }
}
