package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Room that is meant for groups which come first but must wait for it. Others may use it only if
 * they are expected to have ended by then; valid for one round of decisions.
 */
final class BackfillReservations {

  private final RemainingTimes horizon;
  private final long nowMillis;
  private final Map<Minion, List<BackfillReservation>> byMinion = new HashMap<>();
  private int groups;

  BackfillReservations(RemainingTimes horizon, long nowMillis) {
    this.horizon = horizon;
    this.nowMillis = nowMillis;
  }

  int groups() {
    return groups;
  }

  /** Keeps the room of a forecast for its group. */
  void add(Forecast forecast, Room demand) {
    groups++;
    Map<Minion, Room> rooms = new HashMap<>();
    forecast.minions().forEach(minion -> rooms.merge(minion, demand, Room::plus));
    rooms.forEach(
        (minion, room) ->
            byMinion
                .computeIfAbsent(minion, m -> new ArrayList<>(1))
                .add(
                    new BackfillReservation(
                        forecast.startMillis(), room, spareAt(minion, forecast, room))));
  }

  // What is left over when the group has started.
  private Room spareAt(Minion minion, Forecast forecast, Room held) {
    Room spare = minion.free().minus(heldBefore(minion, forecast.startMillis())).minus(held);
    for (Member member : minion.members()) {
      if (nowMillis + horizon.leftMillis(member.run()) <= forecast.startMillis()) {
        spare = spare.plus(member.demand());
      }
    }
    return spare;
  }

  private Room heldBefore(Minion minion, long atMillis) {
    Room sum = Room.NONE;
    for (BackfillReservation hold : byMinion.getOrDefault(minion, List.of())) {
      if (hold.startMillis <= atMillis) {
        sum = sum.plus(hold.room);
      }
    }
    return sum;
  }

  /** Returns the room that a task may use that is expected to end at a time. */
  Room free(Minion minion, long endMillis) {
    Room free = minion.free();
    List<BackfillReservation> holds = byMinion.get(minion);
    if (holds != null) {
      for (BackfillReservation hold : holds) {
        if (endMillis > hold.startMillis) {
          free = free.atMost(hold.spare);
        }
      }
    }
    return free;
  }

  /** Returns the room that is neither used nor held. */
  Room unheld(Minion minion) {
    Room free = minion.free();
    for (BackfillReservation hold : byMinion.getOrDefault(minion, List.of())) {
      free = free.minus(hold.room);
    }
    return free;
  }

  /** Takes note that a task starts which is expected to end at a time. */
  void used(Minion minion, Room demand, long endMillis) {
    for (BackfillReservation hold : byMinion.getOrDefault(minion, List.of())) {
      if (endMillis > hold.startMillis) {
        hold.spare = hold.spare.minus(demand);
      }
    }
  }

  private static final class BackfillReservation {

    private final long startMillis;
    private final Room room;
    private Room spare;

    BackfillReservation(long startMillis, Room room, Room spare) {
      this.startMillis = startMillis;
      this.room = room;
      this.spare = spare;
    }
  }
}
