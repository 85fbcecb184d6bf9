package org.hickoryspar.kernel.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Tracks for how long groups or steps have met a condition in each planning round.
 *
 * @param <K> what identifies a group or a step
 */
final class DurationTracker<K> {

  private final Map<K, Long> sinceMillisByKey = new HashMap<>();
  private final Set<K> keysOfRound = new HashSet<>();
  private long lastRoundMillis;

  /** Records that the condition is met; returns for how many milliseconds it has been. */
  long record(K key, long nowMillis) {
    keysOfRound.add(key);
    lastRoundMillis = nowMillis;
    Long sinceMillis = sinceMillisByKey.putIfAbsent(key, nowMillis);
    return sinceMillis == null ? 0 : nowMillis - sinceMillis;
  }

  /** Returns for how many milliseconds the condition had been met by the last round. */
  long durationMillis(K key) {
    Long sinceMillis = sinceMillisByKey.get(key);
    return sinceMillis == null ? 0 : lastRoundMillis - sinceMillis;
  }

  /** Removes what was not recorded since the end of the previous round. */
  void endRound() {
    sinceMillisByKey.keySet().retainAll(keysOfRound);
    keysOfRound.clear();
  }

  /** Returns the longest duration by the last round in milliseconds, 0 if there is none. */
  long longestMillis() {
    return sinceMillisByKey.keySet().stream().mapToLong(this::durationMillis).max().orElse(0);
  }
}
