package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickoryspar.protocol.Queue;
import org.jspecify.annotations.Nullable;

/**
 * Chooses which runs to stop so that a more urgent group has room. A run is stopped as a whole, so
 * a victim frees room on all its minions.
 */
final class PreemptionPlanner {

  /** The priority whose work may preempt the others. */
  private static final int PREEMPTING_PRIORITY = 0;

  private final PreemptionCost cost;

  PreemptionPlanner(PreemptionCost cost) {
    this.cost = cost;
  }

  static boolean mayPreempt(Queue queue) {
    return queue.getPriority() == PREEMPTING_PRIORITY;
  }

  /** Returns the minions of a group and the victims, or null when stopping others does not help. */
  @Nullable Plan plan(
      Room demand,
      int size,
      Collection<List<Minion>> candidateSets,
      MinionTaskLimit load,
      long nowMillis) {
    Plan best = null;
    for (List<Minion> candidates : candidateSets) {
      Search search = new Search(demand, size, candidates, load, nowMillis);
      Plan plan = search.plan(best == null ? Double.MAX_VALUE : best.cost);
      if (plan != null) {
        best = plan;
      }
    }
    return best;
  }

  /** One search for victims on a set of minions. */
  private final class Search {

    private final Room demand;
    private final int size;
    private final List<Minion> minions;
    private final MinionTaskLimit load;
    private final long nowMillis;
    private final Map<Minion, Room> free = new HashMap<>();
    private final Set<ActiveRun> victims = new LinkedHashSet<>();
    private double total;

    Search(Room demand, int size, List<Minion> minions, MinionTaskLimit load, long nowMillis) {
      this.demand = demand;
      this.size = size;
      this.minions = minions;
      this.load = load;
      this.nowMillis = nowMillis;
      minions.forEach(minion -> free.put(minion, minion.free()));
    }

    /** Frees the minion with the least loss for each task until there are enough. */
    @Nullable Plan plan(double costLimit) {
      while (count() < size) {
        VictimSet next = cheapestStep();
        if (next == null) {
          return null;
        }
        next.runs.forEach(this::stop);
        if (total >= costLimit) {
          return null;
        }
      }
      spareNeedless();
      return new Plan(
          PlacementFinder.fill(demand, size, minions, this::freeOf, load),
          List.copyOf(victims),
          total);
    }

    private int count() {
      int count = 0;
      for (Minion minion : minions) {
        count += countOn(minion, freeOf(minion));
      }
      return count;
    }

    private int countOn(Minion minion, Room room) {
      return Math.min(room.count(demand, size), load.left(minion));
    }

    private Room freeOf(Minion minion) {
      return free.getOrDefault(minion, Room.NONE);
    }

    private @Nullable VictimSet cheapestStep() {
      VictimSet best = null;
      for (Minion minion : minions) {
        VictimSet step = nextTaskOn(minion);
        if (step != null && (best == null || step.cost < best.cost)) {
          best = step;
        }
      }
      return best;
    }

    // The runs whose end lets one more task fit, the cheapest for its room first.
    private @Nullable VictimSet nextTaskOn(Minion minion) {
      Room room = freeOf(minion);
      int before = countOn(minion, room);
      List<ActiveRun> chosen = new ArrayList<>();
      double sum = 0;
      for (ActiveRun run : stoppableOn(minion)) {
        chosen.add(run);
        sum += costOf(run);
        room = room.plus(roomOf(run, minion));
        if (countOn(minion, room) > before) {
          return new VictimSet(chosen, sum);
        }
      }
      return null;
    }

    private List<ActiveRun> stoppableOn(Minion minion) {
      Set<ActiveRun> runs = new LinkedHashSet<>();
      for (Member member : minion.members()) {
        ActiveRun run = member.run();
        if (run.workflow().queue().getPriority() > PREEMPTING_PRIORITY
            && !run.step().getLongRunning()
            && !victims.contains(run)) {
          runs.add(run);
        }
      }
      List<ActiveRun> cheapestFirst = new ArrayList<>(runs);
      cheapestFirst.sort(Comparator.comparingDouble(this::costOf));
      return cheapestFirst;
    }

    private double costOf(ActiveRun run) {
      return cost.of(run, nowMillis);
    }

    private Room roomOf(ActiveRun run, Minion minion) {
      Room room = Room.NONE;
      for (Member member : run.members()) {
        if (member.minion() == minion && !member.isEnded()) {
          room = room.plus(member.demand());
        }
      }
      return room;
    }

    private void stop(ActiveRun run) {
      victims.add(run);
      total += costOf(run);
      shift(run, true);
    }

    private void shift(ActiveRun run, boolean freed) {
      for (Member member : run.members()) {
        if (!member.isEnded()) {
          Room room = member.demand();
          free.computeIfPresent(
              member.minion(), (minion, was) -> freed ? was.plus(room) : was.minus(room));
        }
      }
    }

    // A later victim may have freed enough that an earlier one goes on; the dearest come first.
    private void spareNeedless() {
      List<ActiveRun> dearestFirst = new ArrayList<>(victims);
      dearestFirst.sort(Comparator.comparingDouble(this::costOf).reversed());
      for (ActiveRun run : dearestFirst) {
        shift(run, false);
        if (count() >= size) {
          victims.remove(run);
          total -= costOf(run);
        } else {
          shift(run, true);
        }
      }
    }
  }

  private record VictimSet(List<ActiveRun> runs, double cost) {}

  /**
   * What to stop and where to start.
   *
   * @param minions the minion of each task
   * @param victims the runs to stop
   * @param cost what is lost by it
   */
  record Plan(List<Minion> minions, List<ActiveRun> victims, double cost) {}
}
