package org.hickoryspar.kernel.dispatch;

import java.util.Collection;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.hickoryspar.kernel.catalog.CatalogState;
import org.hickoryspar.kernel.quota.QuotaRefusal;
import org.hickoryspar.kernel.value.Resources;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.jspecify.annotations.Nullable;

/**
 * Places waiting groups on minions in the order of their rank and preempts runs for them. For a
 * group that does not fit now, resources are reserved from its forecast start on; groups of lower
 * rank may be backfilled on them if they are expected to end before it.
 */
final class Planner {

  /** Resources stay reserved for a pending placement this long beyond the stop timeout. */
  private static final long STOP_MARGIN_MILLIS = 1_500;

  /** Maximum number of groups with a backfill reservation in one planning round. */
  private static final int MAX_BACKFILL_RESERVATIONS = 6;

  /**
   * Share of the time until the latest start that a forecast may use up before preemption is
   * considered; the remainder covers runs that last longer than estimated.
   */
  private static final int MAX_FORECAST_SLACK_PERCENT = 40;

  /** Minimum interval at which the waits of groups are examined and reported. */
  private static final long IDLE_CHECK_INTERVAL_MILLIS = 100;

  /**
   * Longest wait for preferred minions while idle capacity meets the requirements. Accepted work
   * must not wait beside it for 3 s; the rest is for the delivery of the start order.
   */
  private static final long MAX_IDLE_WAIT_MILLIS = 2_000;

  /**
   * A gang that has held a reservation for this long may preempt smaller runs while the load is
   * low; small work that gives up preferences would otherwise starve it.
   */
  private static final long MIN_RESERVED_BEFORE_PREEMPTION_MILLIS = 8_000;

  /** Maximum number of groups of a step that find no place before the step is left. */
  private static final int MAX_UNPLACED_GROUPS = 16;

  private final DispatchSettings settings;
  private final CatalogState catalog;
  private final MinionTable minions;
  private final RunTable runs;
  private final MinionFailureTracker failureTracker;
  private final RunTimeEstimates runTimeEstimates;
  private final Ranking ranking;
  private final PreemptionPlanner preemptionPlanner;
  private final WaitReporter waitReporter;
  private final PlanExecutor executor;
  private final PendingPlacements pendingPlacements;
  private final QuotaCheck quotaCheck;
  private final DurationTracker<WaitingStep.WaitId> idleWaits = new DurationTracker<>();
  private final DurationTracker<TaskGroup> reservedGroups = new DurationTracker<>();
  private long nextIdleCheckMillis;

  /**
   * Carries out decisions. Each call updates the allocated resources immediately, so that the next
   * decision of the round takes them into account.
   */
  interface PlanExecutor {

    void start(Placement placement, long nowMillis, long wallMillis);

    void preempt(ActiveRun victim, Placement beneficiary, long nowMillis);
  }

  Planner(
      DispatchSettings settings,
      CatalogState catalog,
      MinionTable minions,
      RunTable runs,
      MinionFailureTracker failureTracker,
      RunTimeEstimates runTimeEstimates,
      Ranking ranking,
      WaitReporter waitReporter,
      PlanExecutor executor) {
    this.settings = settings;
    this.catalog = catalog;
    this.minions = minions;
    this.runs = runs;
    this.failureTracker = failureTracker;
    this.runTimeEstimates = runTimeEstimates;
    this.ranking = ranking;
    this.preemptionPlanner = new PreemptionPlanner(new PreemptionCost.WorkLost());
    this.quotaCheck = new QuotaCheck(runs.teamQuotas());
    this.waitReporter = waitReporter;
    this.executor = executor;
    this.pendingPlacements = new PendingPlacements(catalog, runs, executor);
  }

  /** Runs one planning round over the waiting steps. */
  void plan(List<WaitingStep> waitingSteps, long nowMillis, long wallMillis) {
    boolean checksIdleCapacity = nowMillis >= nextIdleCheckMillis;
    MinionPools pools = new MinionPools(minions.all(), catalog.dataCentresOut(), nowMillis);
    pendingPlacements.startReady(pools, nowMillis, wallMillis);
    PlanningRound round = new PlanningRound(pools, checksIdleCapacity, nowMillis, wallMillis);
    for (RankedStep step : ranking.rank(waitingSteps, nowMillis, wallMillis)) {
      round.placeGroups(step);
    }
    reservedGroups.endRound();
    quotaCheck.endRound();
    if (checksIdleCapacity) {
      nextIdleCheckMillis = nowMillis + IDLE_CHECK_INTERVAL_MILLIS;
      idleWaits.endRound();
    }
  }

  /**
   * Returns the longest time in milliseconds for which a group has been waiting that could start on
   * idle capacity against a preference.
   */
  long longestIdleWaitMillis() {
    return idleWaits.longestMillis();
  }

  /** Removes the state of groups that no longer wait. */
  void sweep(long nowMillis) {
    waitReporter.sweep(nowMillis);
  }

  private final class PlanningRound {

    private final boolean checksIdleCapacity;
    private final long nowMillis;
    private final long wallMillis;
    private final ServiceLoad serviceLoad;
    private final MinionPools pools;
    private final RemainingTimes remainingTimes;
    private final BackfillReservations backfillReservations;
    private final MinionSelector minionSelector;
    private final IdleCapacityFinder idleCapacityFinder;
    private final TeamPreemption teamPreemption;
    private final UnsatisfiedDemands unsatisfiedDemands = new UnsatisfiedDemands();
    private final Set<WaitingStep> stepsWithReservation =
        Collections.newSetFromMap(new IdentityHashMap<>());

    PlanningRound(MinionPools pools, boolean checksIdleCapacity, long nowMillis, long wallMillis) {
      this.pools = pools;
      this.checksIdleCapacity = checksIdleCapacity;
      this.nowMillis = nowMillis;
      this.wallMillis = wallMillis;
      // Without a check, the load is not asked for.
      this.serviceLoad = new ServiceLoad(checksIdleCapacity ? minions.all() : List.of());
      this.remainingTimes =
          new RemainingTimes(runTimeEstimates, settings.stopTimeoutMillis(), nowMillis);
      this.backfillReservations = new BackfillReservations(remainingTimes, nowMillis);
      this.minionSelector = new MinionSelector(failureTracker, backfillReservations, nowMillis);
      this.idleCapacityFinder = new IdleCapacityFinder(serviceLoad, runs, minionSelector);
      this.teamPreemption =
          quotaCheck.newPreemption(
              runs, preemptionPlanner, minionSelector, remainingTimes, nowMillis);
    }

    void placeGroups(RankedStep ranked) {
      WaitingStep waitingStep = ranked.waitingStep();
      MinionPools.Pool pool = pools.poolFor(waitingStep);
      MinionTaskLimit taskLimit = new MinionTaskLimit(waitingStep, runs);
      int unplacedGroups = 0;
      for (TaskGroup group : waitingStep.groups()) {
        if (pendingPlacements.contains(group) || runs.hasRun(group)) {
          continue;
        }
        QuotaRefusal refusal =
            quotaCheck.check(waitingStep, group, ranked.urgency(), nowMillis).orElse(null);
        if (refusal != null) {
          if (!preemptWithinTeam(ranked, group, pool, taskLimit)) {
            // The other groups of the step demand the same.
            reportWait(waitingStep, group, WaitCause.quota(refusal));
            return;
          }
        } else if (!placeGroup(ranked, group, pool, taskLimit)) {
          unplacedGroups++;
          if (unplacedGroups >= MAX_UNPLACED_GROUPS
              || !othersMayFit(waitingStep, group, pool, taskLimit)) {
            return;
          }
        }
      }
    }

    // A group that avoids minions on which it has failed leaves them to the others of its step.
    private boolean othersMayFit(
        WaitingStep waitingStep,
        TaskGroup group,
        MinionPools.Pool pool,
        MinionTaskLimit taskLimit) {
      return group.failures() > 0
          && MinionSelector.fitsWithoutPreferences(waitingStep, group, pool, taskLimit);
    }

    // What may preempt work of its own team is up to TeamPreemption.
    private boolean preemptWithinTeam(
        RankedStep ranked, TaskGroup group, MinionPools.Pool pool, MinionTaskLimit taskLimit) {
      long endMillis = expectedEndMillis(ranked);
      long waitMillis = allowedWaitMillis(ranked.urgency());
      PreemptionPlanner.Plan plan =
          teamPreemption.plan(ranked, group, pool, taskLimit, endMillis, waitMillis);
      if (plan != null) {
        preempt(plan, ranked.waitingStep(), group, taskLimit);
      }
      return plan != null;
    }

    /** Returns whether a group is placed now, or will be once the victims of a preemption end. */
    private boolean placeGroup(
        RankedStep ranked, TaskGroup group, MinionPools.Pool pool, MinionTaskLimit taskLimit) {
      WaitingStep waitingStep = ranked.waitingStep();
      String similarGroup = unsatisfiedDemands.findSimilar(waitingStep, group, ranked.urgency());
      if (similarGroup != null) {
        int suitableMinions = minionSelector.preferredMinions(group, pool).size();
        WaitCause cause = WaitCause.skipped(suitableMinions, similarGroup);
        return startOnIdleCapacity(ranked, group, pool, taskLimit, cause);
      }
      long endMillis = expectedEndMillis(ranked);
      List<Minion> selected =
          minionSelector.selectPreferred(waitingStep, group, pool, taskLimit, endMillis);
      if (selected == null) {
        return preemptOrReserve(ranked, group, pool, taskLimit);
      }
      start(new Placement(waitingStep, group, selected), taskLimit, endMillis);
      return true;
    }

    /**
     * Starts a group against the preferences if it has waited beside idle capacity for too long;
     * otherwise reports that it waits. Does neither in a round that does not check for idle
     * capacity. Returns whether the group was started.
     */
    private boolean startOnIdleCapacity(
        RankedStep ranked,
        TaskGroup group,
        MinionPools.Pool pool,
        MinionTaskLimit taskLimit,
        WaitCause cause) {
      if (!checksIdleCapacity) {
        return false;
      }
      WaitingStep waitingStep = ranked.waitingStep();
      long endMillis = expectedEndMillis(ranked);
      MinionSelector.Selection idle =
          idleCapacityFinder.find(waitingStep, group, pool, taskLimit, endMillis);
      if (idle == null) {
        reportWait(waitingStep, group, cause);
        return false;
      }
      long idleMillis = idleWaits.record(waitingStep.waitIdOf(group), nowMillis);
      WaitCause idleCause = cause.besideIdleCapacity(idleMillis, obstacle(idle));
      if (idleMillis < MAX_IDLE_WAIT_MILLIS) {
        reportWait(waitingStep, group, idleCause);
        return false;
      }
      waitReporter.reportPreferencesDropped(waitingStep, group, idleCause);
      Placement placement = new Placement(waitingStep, group, idle.minions());
      start(placement, taskLimit, endMillis);
      return true;
    }

    private void reportWait(WaitingStep waitingStep, TaskGroup group, WaitCause cause) {
      waitReporter.reportWait(waitingStep, group, cause, nowMillis, wallMillis);
    }

    private String obstacle(MinionSelector.Selection idle) {
      List<String> holders = backfillReservations.holdersOn(idle.minions());
      String obstacle = idle.givenUp().obstacle();
      return holders.isEmpty() ? obstacle : obstacle + " [reserved for " + holders + "]";
    }

    private long expectedEndMillis(RankedStep ranked) {
      return ranked.waitingStep().step().getLongRunning()
          ? RemainingTimes.UNBOUNDED_MILLIS
          : nowMillis + ranked.urgency().promisedRunMillis();
    }

    private void start(Placement placement, MinionTaskLimit taskLimit, long endMillis) {
      Resources demand = placement.waitingStep().demand();
      for (Minion minion : placement.minions()) {
        serviceLoad.recordStart(minion.service(), demand);
        taskLimit.add(minion);
        backfillReservations.recordStart(minion, demand, endMillis);
      }
      waitReporter.remove(placement.group());
      executor.start(placement, nowMillis, wallMillis);
    }

    /**
     * Preempts runs for a group, starts it on idle capacity or reserves resources for it. Returns
     * false if it only waits.
     */
    private boolean preemptOrReserve(
        RankedStep ranked, TaskGroup group, MinionPools.Pool pool, MinionTaskLimit taskLimit) {
      Urgency urgency = ranked.urgency();
      WaitingStep waitingStep = ranked.waitingStep();
      List<Minion> eligible = minionSelector.preferredMinions(group, pool);
      Collection<List<Minion>> candidates =
          PlacementFinder.candidateSets(waitingStep, group.size(), eligible, taskLimit);
      boolean mayPreempt = PreemptionPlanner.mayPreempt(waitingStep.queue());
      Forecast forecast =
          mayPreempt || mayReserve(waitingStep)
              ? forecast(waitingStep, group, candidates, taskLimit)
              : null;
      boolean triesPreemption = mayPreempt && isTooLate(forecast, urgency);
      if (triesPreemption && preemptFor(ranked, group, candidates, taskLimit)) {
        return true;
      }
      if (mayPreemptSmallerWork(waitingStep, group)
          && preemptSmallerWork(waitingStep, group, candidates, taskLimit)) {
        return true;
      }
      WaitCause cause = WaitCause.noPlace(eligible.size(), forecast);
      if (startOnIdleCapacity(ranked, group, pool, taskLimit, cause)) {
        return true;
      }
      if (forecast != null && mayReserve(waitingStep)) {
        reserve(waitingStep, group, forecast);
      } else {
        unsatisfiedDemands.add(waitingStep, group, urgency, triesPreemption);
      }
      return false;
    }

    private boolean mayReserve(WaitingStep waitingStep) {
      return !stepsWithReservation.contains(waitingStep)
          && backfillReservations.groupCount() < MAX_BACKFILL_RESERVATIONS;
    }

    private @Nullable Forecast forecast(
        WaitingStep waitingStep,
        TaskGroup group,
        Collection<List<Minion>> candidates,
        MinionTaskLimit taskLimit) {
      return new StartForecaster(remainingTimes, backfillReservations::unreserved, nowMillis)
          .earliest(waitingStep.demand(), group.size(), candidates, taskLimit);
    }

    private void reserve(WaitingStep waitingStep, TaskGroup group, Forecast forecast) {
      long reservedMillis = reservedGroups.record(group, nowMillis);
      String holder = waitingStep.nextRunOf(group) + " for " + reservedMillis + " ms";
      backfillReservations.add(forecast, waitingStep.demand(), holder);
      stepsWithReservation.add(waitingStep);
    }

    private boolean isTooLate(@Nullable Forecast forecast, Urgency urgency) {
      return forecast == null || forecast.startMillis() - nowMillis > allowedWaitMillis(urgency);
    }

    private long allowedWaitMillis(Urgency urgency) {
      return (urgency.latestStartMillis() - wallMillis) * MAX_FORECAST_SLACK_PERCENT / 100;
    }

    private boolean preemptFor(
        RankedStep ranked,
        TaskGroup group,
        Collection<List<Minion>> candidates,
        MinionTaskLimit taskLimit) {
      WaitingStep waitingStep = ranked.waitingStep();
      PreemptionPlanner.Plan plan =
          planPreemption(
              waitingStep, group, candidates, taskLimit, run -> mayStop(run, ranked.urgency()));
      if (plan == null || !isWorthwhile(plan, ranked, group)) {
        return false;
      }
      preempt(plan, waitingStep, group, taskLimit);
      return true;
    }

    private static boolean mayStop(ActiveRun run, Urgency urgency) {
      return PreemptionPlanner.isPreemptible(run)
          && (urgency.isGuaranteed() || !PreemptionPlanner.isSpared(run));
    }

    private boolean mayPreemptSmallerWork(WaitingStep waitingStep, TaskGroup group) {
      return checksIdleCapacity
          && group.size() > 1
          && reservedGroups.durationMillis(group) >= MIN_RESERVED_BEFORE_PREEMPTION_MILLIS
          && idleCapacityFinder.hasLowLoad(waitingStep);
    }

    private boolean preemptSmallerWork(
        WaitingStep waitingStep,
        TaskGroup group,
        Collection<List<Minion>> candidates,
        MinionTaskLimit taskLimit) {
      PreemptionPlanner.Plan plan =
          planPreemption(
              waitingStep,
              group,
              candidates,
              taskLimit,
              run -> PreemptionPlanner.isPreemptibleForLarger(run, waitingStep, group));
      if (plan == null) {
        return false;
      }
      preempt(plan, waitingStep, group, taskLimit);
      return true;
    }

    private PreemptionPlanner.@Nullable Plan planPreemption(
        WaitingStep waitingStep,
        TaskGroup group,
        Collection<List<Minion>> candidates,
        MinionTaskLimit taskLimit,
        Predicate<ActiveRun> mayStop) {
      return preemptionPlanner.plan(
          waitingStep.demand(), group.size(), candidates, taskLimit, mayStop, nowMillis);
    }

    private void preempt(
        PreemptionPlanner.Plan plan,
        WaitingStep waitingStep,
        TaskGroup group,
        MinionTaskLimit taskLimit) {
      Placement placement = new Placement(waitingStep, group, plan.minions());
      PendingPlacement pending =
          new PendingPlacement(
              placement,
              plan.victims(),
              nowMillis + settings.stopTimeoutMillis() + STOP_MARGIN_MILLIS);
      plan.victims().forEach(victim -> executor.preempt(victim, placement, nowMillis));
      plan.minions().forEach(taskLimit::add);
      pendingPlacements.add(pending);
    }

    // Guaranteed work may preempt at any cost. Other work may preempt only if it can still be in
    // time and no more work is lost than it performs itself.
    private boolean isWorthwhile(PreemptionPlanner.Plan plan, RankedStep ranked, TaskGroup group) {
      Urgency urgency = ranked.urgency();
      return urgency.isGuaranteed()
          || (urgency.targetStatus() == Urgency.TargetStatus.IN_TIME
              && plan.cost()
                  <= PreemptionCost.coreMillis(
                      ranked.waitingStep().demand(), group.size(), urgency.estimatedRunMillis()));
    }
  }
}
