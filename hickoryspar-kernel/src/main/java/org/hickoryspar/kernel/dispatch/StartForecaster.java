package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.hickoryspar.kernel.value.Resources;
import org.jspecify.annotations.Nullable;

/** Forecasts where and when active runs will have released enough resources for a group. */
final class StartForecaster {

  private final RemainingTimes remainingTimes;
  private final Function<Minion, Resources> freeOf;
  private final long nowMillis;

  /**
   * Creates a forecaster for one planning round.
   *
   * @param freeOf returns the free resources of a minion that have no backfill reservation
   */
  StartForecaster(
      RemainingTimes remainingTimes, Function<Minion, Resources> freeOf, long nowMillis) {
    this.remainingTimes = remainingTimes;
    this.freeOf = freeOf;
    this.nowMillis = nowMillis;
  }

  /**
   * Returns the forecast with the earliest start, or null if the group fits on no candidate set.
   * Runs that do not end by themselves keep their resources.
   */
  @Nullable Forecast earliest(
      Resources demand,
      int size,
      Collection<List<Minion>> candidateSets,
      MinionTaskLimit taskLimit) {
    Forecast best = null;
    for (List<Minion> candidates : candidateSets) {
      Forecast forecast = forecastOn(demand, size, candidates, taskLimit);
      if (forecast != null && (best == null || forecast.startMillis() < best.startMillis())) {
        best = forecast;
      }
    }
    return best;
  }

  private @Nullable Forecast forecastOn(
      Resources demand, int size, List<Minion> minions, MinionTaskLimit taskLimit) {
    Map<Minion, Resources> freeByMinion = new HashMap<>();
    List<Release> releases = new ArrayList<>();
    int fittingTasks = 0;
    for (Minion minion : minions) {
      Resources freeNow = freeOf.apply(minion);
      freeByMinion.put(minion, freeNow);
      fittingTasks += countFitting(minion, freeNow, demand, size, taskLimit);
      addReleases(minion, releases);
    }
    releases.sort(Comparator.comparingLong(Release::delayMillis));
    long delayMillis = 0;
    for (Release release : releases) {
      if (fittingTasks >= size) {
        break;
      }
      Resources freeBefore = freeByMinion.getOrDefault(release.minion, Resources.NONE);
      Resources freeAfter = freeBefore.plus(release.resources);
      fittingTasks +=
          countFitting(release.minion, freeAfter, demand, size, taskLimit)
              - countFitting(release.minion, freeBefore, demand, size, taskLimit);
      freeByMinion.put(release.minion, freeAfter);
      delayMillis = release.delayMillis;
    }
    if (fittingTasks < size) {
      return null;
    }
    List<Minion> chosen =
        PlacementFinder.assignTasks(
            demand, size, minions, m -> freeByMinion.getOrDefault(m, Resources.NONE), taskLimit);
    return new Forecast(chosen, nowMillis + delayMillis);
  }

  private void addReleases(Minion minion, List<Release> releases) {
    for (Member member : minion.members()) {
      long delayMillis = remainingTimes.remainingMillis(member.run());
      if (delayMillis < RemainingTimes.UNBOUNDED_MILLIS) {
        releases.add(new Release(delayMillis, minion, member.demand()));
      }
    }
  }

  private static int countFitting(
      Minion minion, Resources free, Resources demand, int size, MinionTaskLimit taskLimit) {
    return Math.min(free.countFitting(demand, size), taskLimit.remaining(minion));
  }

  private record Release(long delayMillis, Minion minion, Resources resources) {}
}
