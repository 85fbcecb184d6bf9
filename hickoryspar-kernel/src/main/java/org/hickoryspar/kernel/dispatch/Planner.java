package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickoryspar.kernel.catalog.CatalogState;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.jspecify.annotations.Nullable;

/**
 * Decides which waiting groups start where, the first in rank first, and what is stopped for them.
 * Room that groups without room will need is held for the first of them, and others use it only as
 * long as it is free anyway.
 */
final class Planner {

  /** Room is kept this long beyond the time in which a task stops. */
  private static final long RESERVATION_MARGIN_MILLIS = 1_500;

  /** Groups for which room is held at the same time. */
  private static final int MAX_HELD_GROUPS = 6;

  /**
   * Share of the time left that a forecast may use up, since some runs last longer than expected.
   */
  private static final int TRUSTED_SLACK_PERCENT = 40;

  private final DispatchSettings settings;
  private final CatalogState catalog;
  private final MinionTable minions;
  private final RunTable runs;
  private final MinionFailureTracker faults;
  private final RunTimeEstimates estimates;
  private final Ranking ranking;
  private final PreemptionPlanner reclaim;
  private final WaitReporter waits;
  private final PlanExecutor effects;
  private final Map<TaskGroup, PendingPlacement> reservations = new LinkedHashMap<>();

  /** Takes the decisions, each at once, so that the next one sees its room as taken. */
  interface PlanExecutor {

    void start(Placement placement, long nowMillis, long wallMillis);

    void preempt(ActiveRun victim, Placement beneficiary, long nowMillis);
  }

  Planner(
      DispatchSettings settings,
      CatalogState catalog,
      MinionTable minions,
      RunTable runs,
      MinionFailureTracker faults,
      RunTimeEstimates estimates,
      TeamDemand needs,
      WaitReporter waits,
      PlanExecutor effects) {
    this.settings = settings;
    this.catalog = catalog;
    this.minions = minions;
    this.runs = runs;
    this.faults = faults;
    this.estimates = estimates;
    this.ranking = new Ranking(new UrgencyCalculator(settings, estimates, needs));
    this.reclaim = new PreemptionPlanner(new PreemptionCost.WorkLost());
    this.waits = waits;
    this.effects = effects;
  }

  /** Places the groups of steps that wait. */
  void plan(List<WaitingStep> waiting, long nowMillis, long wallMillis) {
    PlanningRound round = new PlanningRound(nowMillis, wallMillis);
    round.startReserved();
    for (RankedStep step : ranking.rank(waiting, wallMillis)) {
      round.place(step);
    }
  }

  /** Forgets what concerns groups that have ended. */
  void sweep(long nowMillis) {
    waits.sweep(nowMillis);
  }

  /** One round of decisions. */
  private final class PlanningRound {

    private final long nowMillis;
    private final long wallMillis;
    private final MinionPools pools;
    private final RemainingTimes horizon;
    private final BackfillReservations holds;
    private final UnsatisfiedDemands blocked = new UnsatisfiedDemands();

    PlanningRound(long nowMillis, long wallMillis) {
      this.nowMillis = nowMillis;
      this.wallMillis = wallMillis;
      this.pools = new MinionPools(minions.all(), catalog.dataCentresOut(), nowMillis);
      this.horizon = new RemainingTimes(estimates, settings.stopTimeoutMillis(), nowMillis);
      this.holds = new BackfillReservations(horizon, nowMillis);
    }

    // A reservation ends when its group starts or ends, when a minion of it becomes unusable, or
    // when its time is up.
    void startReserved() {
      for (PendingPlacement reservation : List.copyOf(reservations.values())) {
        Placement placement = reservation.placement();
        TaskGroup group = placement.group();
        boolean needless =
            placement.waiting().workflow().isEnded() || group.isDone() || runs.holds(group);
        boolean unusable = !pools.areUsable(placement.minions());
        reservation.release();
        if (needless || unusable || nowMillis >= reservation.untilMillis()) {
          reservations.remove(group);
        } else if (reservation.isRoomFree()) {
          reservations.remove(group);
          effects.start(placement, nowMillis, wallMillis);
        } else {
          reservation.take();
        }
      }
    }

    void place(RankedStep ranked) {
      WaitingStep waiting = ranked.waiting();
      MinionPools.Pool pool = pools.of(waiting);
      MinionTaskLimit load = new MinionTaskLimit(waiting, runs);
      for (TaskGroup group : waiting.groups()) {
        if (reservations.containsKey(group) || runs.holds(group)) {
          continue;
        }
        if (blocked.covers(waiting, group.size(), ranked.urgency().expectedMillis())) {
          return;
        }
        List<Minion> chosen = choose(ranked, group, pool, load);
        if (chosen != null) {
          start(new Placement(waiting, group, chosen), load, endMillis(ranked));
        } else if (!makeRoom(ranked, group, pool, load)) {
          return;
        }
      }
    }

    private long endMillis(RankedStep ranked) {
      return nowMillis + ranked.urgency().expectedMillis();
    }

    private void start(Placement placement, MinionTaskLimit load, long endMillis) {
      Room demand = placement.waiting().demand();
      for (Minion minion : placement.minions()) {
        load.add(minion);
        holds.used(minion, demand, endMillis);
      }
      waits.forget(placement.group());
      effects.start(placement, nowMillis, wallMillis);
    }

    private @Nullable List<Minion> choose(
        RankedStep ranked, TaskGroup group, MinionPools.Pool pool, MinionTaskLimit load) {
      WaitingStep waiting = ranked.waiting();
      List<Minion> chosen = null;
      if (!pool.onTrial().isEmpty() && isExpendable(waiting, group)) {
        chosen = find(ranked, group, pool.onTrial().stream().filter(Minion::isIdle).toList(), load);
      }
      if (chosen == null && isLastAttempt(waiting, group)) {
        chosen = find(ranked, group, withoutFailure(group, proven(pool)), load);
      }
      if (chosen == null) {
        chosen = find(ranked, group, withoutFailure(group, pool.trusted()), load);
      }
      if (chosen == null && !pool.doubted().isEmpty()) {
        List<Minion> others = new ArrayList<>(pool.trusted());
        others.addAll(pool.doubted());
        chosen = find(ranked, group, withoutFailure(group, others), load);
      }
      return chosen;
    }

    // A single task that may fail once more shows whether a minion has recovered.
    private boolean isExpendable(WaitingStep waiting, TaskGroup group) {
      return group.size() == 1
          && group.failures() == 0
          && waiting.workflow().maxAttempts() > 1
          && !PreemptionPlanner.mayPreempt(waiting.queue());
    }

    private static boolean isLastAttempt(WaitingStep waiting, TaskGroup group) {
      return group.failures() > 0 && group.failures() + 1 >= waiting.workflow().maxAttempts();
    }

    private List<Minion> proven(MinionPools.Pool pool) {
      return pool.trusted().stream().filter(minion -> minion.health().isProven(nowMillis)).toList();
    }

    private List<Minion> withoutFailure(TaskGroup group, List<Minion> pool) {
      if (group.failures() == 0) {
        return pool;
      }
      Set<String> failedOn = faults.failedOn(group);
      return pool.stream().filter(minion -> !failedOn.contains(minion.id())).toList();
    }

    private @Nullable List<Minion> find(
        RankedStep ranked, TaskGroup group, List<Minion> pool, MinionTaskLimit load) {
      long endMillis = endMillis(ranked);
      if (group.size() > 1) {
        return PlacementFinder.gang(
            ranked.waiting(), group.size(), pool, minion -> holds.free(minion, endMillis), load);
      }
      Minion minion =
          PlacementFinder.tightest(ranked.waiting(), pool, m -> holds.free(m, endMillis), load);
      return minion == null ? null : List.of(minion);
    }

    /** Returns whether room is made for a group, so that the next one may be looked at. */
    private boolean makeRoom(
        RankedStep ranked, TaskGroup group, MinionPools.Pool pool, MinionTaskLimit load) {
      Urgency urgency = ranked.urgency();
      WaitingStep waiting = ranked.waiting();
      List<Minion> trusted = withoutFailure(group, pool.trusted());
      Collection<List<Minion>> candidates =
          PlacementFinder.candidateSets(waiting, group.size(), trusted, load);
      boolean preempting = PreemptionPlanner.mayPreempt(waiting.queue());
      if (!preempting && holds.groups() >= MAX_HELD_GROUPS) {
        blocked.add(waiting, group.size(), urgency.expectedMillis());
        waits.waits(waiting, group, trusted.size(), null, nowMillis, wallMillis);
        return false;
      }
      Forecast forecast =
          new StartForecaster(horizon, holds::unheld, nowMillis)
              .earliest(waiting.demand(), group.size(), candidates);
      if (preempting
          && isTooLate(forecast, urgency)
          && preemptFor(ranked, group, candidates, load)) {
        return true;
      }
      waits.waits(waiting, group, trusted.size(), forecast, nowMillis, wallMillis);
      if (forecast != null && holds.groups() < MAX_HELD_GROUPS) {
        holds.add(forecast, waiting.demand());
      } else {
        blocked.add(waiting, group.size(), urgency.expectedMillis());
      }
      return false;
    }

    private boolean isTooLate(@Nullable Forecast forecast, Urgency urgency) {
      long allowedMillis = (urgency.latestStartMillis() - wallMillis) * TRUSTED_SLACK_PERCENT / 100;
      return forecast == null || forecast.startMillis() - nowMillis > allowedMillis;
    }

    private boolean preemptFor(
        RankedStep ranked,
        TaskGroup group,
        Collection<List<Minion>> candidates,
        MinionTaskLimit load) {
      WaitingStep waiting = ranked.waiting();
      PreemptionPlanner.Plan plan =
          reclaim.plan(waiting.demand(), group.size(), candidates, load, nowMillis);
      if (plan == null || !isWorthwhile(plan, ranked, group)) {
        return false;
      }
      Placement placement = new Placement(waiting, group, plan.minions());
      PendingPlacement reservation =
          new PendingPlacement(
              placement,
              plan.victims(),
              nowMillis + settings.stopTimeoutMillis() + RESERVATION_MARGIN_MILLIS);
      plan.victims().forEach(victim -> effects.preempt(victim, placement, nowMillis));
      plan.minions().forEach(load::add);
      reservation.take();
      reservations.put(group, reservation);
      return true;
    }

    // What is guaranteed is given at any cost; others must not lose more than is gained.
    private boolean isWorthwhile(PreemptionPlanner.Plan plan, RankedStep ranked, TaskGroup group) {
      Urgency urgency = ranked.urgency();
      return urgency.isGuaranteed()
          || (urgency.prospect() == Urgency.TargetStatus.IN_TIME
              && plan.cost()
                  <= PreemptionCost.work(
                      ranked.waiting().demand(), group.size(), urgency.expectedMillis()));
    }
  }
}
