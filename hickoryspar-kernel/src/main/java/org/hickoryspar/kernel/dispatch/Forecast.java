package org.hickoryspar.kernel.dispatch;

import java.util.List;

/**
 * Where and when a group that has no room now is expected to find some.
 *
 * @param minions the minion of each task
 * @param startMillis when their room is expected to be free, on the monotonic clock
 */
record Forecast(List<Minion> minions, long startMillis) {

  Forecast {
    minions = List.copyOf(minions);
  }
}
