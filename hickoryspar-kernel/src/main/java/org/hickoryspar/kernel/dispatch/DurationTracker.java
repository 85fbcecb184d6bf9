package org.hickoryspar.kernel.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.hickoryspar.kernel.workflow.TaskGroup;

/** Tracks for how long groups have met a condition in each planning round. */
final class DurationTracker {

  private final Map<TaskGroup, Long> sinceMillisByGroup = new HashMap<>();
  private final Set<TaskGroup> groupsOfRound = new HashSet<>();

  /** Records that a group meets the condition; returns for how many milliseconds it has done so. */
  long record(TaskGroup group, long nowMillis) {
    groupsOfRound.add(group);
    Long sinceMillis = sinceMillisByGroup.putIfAbsent(group, nowMillis);
    return sinceMillis == null ? 0 : nowMillis - sinceMillis;
  }

  /** Removes the groups that were not recorded since the end of the previous round. */
  void endRound() {
    sinceMillisByGroup.keySet().retainAll(groupsOfRound);
    groupsOfRound.clear();
  }

  /** Returns the longest duration of a group in milliseconds, 0 if there is no group. */
  long longestMillis(long nowMillis) {
    return sinceMillisByGroup.values().stream()
        .mapToLong(sinceMillis -> nowMillis - sinceMillis)
        .max()
        .orElse(0);
  }
}
