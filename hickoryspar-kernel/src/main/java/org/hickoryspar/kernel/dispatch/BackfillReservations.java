package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickoryspar.kernel.value.Resources;

/**
 * Resources reserved for groups of higher rank from a forecast start time on. A task of lower rank
 * may be backfilled if it is expected to end before that time or fits beside the reserved
 * resources. Valid for one planning round.
 */
final class BackfillReservations {

  private final RemainingTimes remainingTimes;
  private final long nowMillis;
  private final Map<Minion, List<BackfillReservation>> reservationsByMinion = new HashMap<>();
  private int groupCount;

  BackfillReservations(RemainingTimes remainingTimes, long nowMillis) {
    this.remainingTimes = remainingTimes;
    this.nowMillis = nowMillis;
  }

  int groupCount() {
    return groupCount;
  }

  /**
   * Reserves the resources of a forecast placement for its group.
   *
   * @param holder the group and the age of its reservation, for the log
   */
  void add(Forecast forecast, Resources demand, String holder) {
    groupCount++;
    Map<Minion, Resources> resourcesByMinion = new HashMap<>();
    forecast.minions().forEach(minion -> resourcesByMinion.merge(minion, demand, Resources::plus));
    resourcesByMinion.forEach(
        (minion, resources) ->
            reservationsByMinion
                .computeIfAbsent(minion, m -> new ArrayList<>(1))
                .add(
                    new BackfillReservation(
                        holder,
                        forecast.startMillis(),
                        resources,
                        spareAfterStart(minion, forecast, resources))));
  }

  // Returns the resources that remain free once the group has started.
  private Resources spareAfterStart(Minion minion, Forecast forecast, Resources reserved) {
    Resources spare =
        minion.free().minus(reservedUntil(minion, forecast.startMillis())).minus(reserved);
    for (Member member : minion.members()) {
      if (nowMillis + remainingTimes.remainingMillis(member.run()) <= forecast.startMillis()) {
        spare = spare.plus(member.demand());
      }
    }
    return spare;
  }

  private Resources reservedUntil(Minion minion, long atMillis) {
    Resources total = Resources.NONE;
    for (BackfillReservation reservation : reservationsByMinion.getOrDefault(minion, List.of())) {
      if (reservation.startMillis <= atMillis) {
        total = total.plus(reservation.resources);
      }
    }
    return total;
  }

  /** Returns the resources available to a task that is expected to end at the given time. */
  Resources availableUntil(Minion minion, long endMillis) {
    Resources available = minion.free();
    List<BackfillReservation> reservations = reservationsByMinion.get(minion);
    if (reservations != null) {
      for (BackfillReservation reservation : reservations) {
        if (endMillis > reservation.startMillis) {
          available = available.min(reservation.spare);
        }
      }
    }
    return available;
  }

  /** Returns the free resources of a minion that have no backfill reservation. */
  Resources unreserved(Minion minion) {
    Resources free = minion.free();
    for (BackfillReservation reservation : reservationsByMinion.getOrDefault(minion, List.of())) {
      free = free.minus(reservation.resources);
    }
    return free;
  }

  /** Returns the holders of the reservations on some minions. */
  List<String> holdersOn(Collection<Minion> minions) {
    return minions.stream()
        .flatMap(minion -> reservationsByMinion.getOrDefault(minion, List.of()).stream())
        .map(reservation -> reservation.holder)
        .distinct()
        .toList();
  }

  /** Deducts a started task from the spare resources of the reservations that it outlasts. */
  void recordStart(Minion minion, Resources demand, long endMillis) {
    for (BackfillReservation reservation : reservationsByMinion.getOrDefault(minion, List.of())) {
      if (endMillis > reservation.startMillis) {
        reservation.spare = reservation.spare.minus(demand);
      }
    }
  }

  private static final class BackfillReservation {

    private final String holder;
    private final long startMillis;
    private final Resources resources;
    private Resources spare;

    BackfillReservation(String holder, long startMillis, Resources resources, Resources spare) {
      this.holder = holder;
      this.startMillis = startMillis;
      this.resources = resources;
      this.spare = spare;
    }
  }
}
