package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/** Finds the place where the runs that hold room now leave enough for a group first. */
final class StartForecaster {

  private final RemainingTimes horizon;
  private final Function<Minion, Room> freeOf;
  private final long nowMillis;

  /**
   * Creates forecasts for one round of decisions.
   *
   * @param freeOf the room of a minion that is neither used nor meant for a group that comes first
   */
  StartForecaster(RemainingTimes horizon, Function<Minion, Room> freeOf, long nowMillis) {
    this.horizon = horizon;
    this.freeOf = freeOf;
    this.nowMillis = nowMillis;
  }

  /** Returns where a group is expected to start first, or null if it would not fit anywhere. */
  @Nullable Forecast earliest(Room demand, int size, Collection<List<Minion>> candidateSets) {
    Forecast best = null;
    for (List<Minion> candidates : candidateSets) {
      Forecast found = on(demand, size, candidates);
      if (found != null && (best == null || found.startMillis() < best.startMillis())) {
        best = found;
      }
    }
    return best;
  }

  private @Nullable Forecast on(Room demand, int size, List<Minion> minions) {
    Map<Minion, Room> free = new HashMap<>();
    List<Release> releases = new ArrayList<>();
    int fits = 0;
    for (Minion minion : minions) {
      Room now = freeOf.apply(minion);
      free.put(minion, now);
      fits += now.count(demand, size);
      for (Member member : minion.members()) {
        releases.add(new Release(horizon.leftMillis(member.run()), minion, member.demand()));
      }
    }
    releases.sort(Comparator.comparingLong(Release::inMillis));
    long inMillis = 0;
    for (Release release : releases) {
      if (fits >= size) {
        break;
      }
      Room before = free.getOrDefault(release.minion, Room.NONE);
      Room after = before.plus(release.room);
      fits += after.count(demand, size) - before.count(demand, size);
      free.put(release.minion, after);
      inMillis = release.inMillis;
    }
    if (fits < size) {
      return null;
    }
    List<Minion> chosen =
        PlacementFinder.fill(
            demand, size, minions, m -> free.getOrDefault(m, Room.NONE), MinionTaskLimit.UNLIMITED);
    return new Forecast(chosen, nowMillis + inMillis);
  }

  private record Release(long inMillis, Minion minion, Room room) {}
}
