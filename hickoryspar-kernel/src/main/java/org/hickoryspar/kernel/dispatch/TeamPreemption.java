package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.hickoryspar.kernel.quota.LimitedResource;
import org.hickoryspar.kernel.quota.TeamQuotas;
import org.hickoryspar.kernel.value.Resources;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.jspecify.annotations.Nullable;

/**
 * Plans the preemption of runs of a team for a group of the same team that exceeds its quota. Only
 * guaranteed work that would start too late, and a gang that small work has passed over for too
 * long, preempt work of their own team. Valid for one planning round.
 */
final class TeamPreemption {

  private final TeamQuotas quotas;
  private final QuotaCheck quotaCheck;
  private final RunTable runs;
  private final PreemptionPlanner preemptionPlanner;
  private final MinionSelector minionSelector;
  private final RemainingTimes remainingTimes;
  private final long nowMillis;

  TeamPreemption(
      TeamQuotas quotas,
      QuotaCheck quotaCheck,
      RunTable runs,
      PreemptionPlanner preemptionPlanner,
      MinionSelector minionSelector,
      RemainingTimes remainingTimes,
      long nowMillis) {
    this.quotas = quotas;
    this.quotaCheck = quotaCheck;
    this.runs = runs;
    this.preemptionPlanner = preemptionPlanner;
    this.minionSelector = minionSelector;
    this.remainingTimes = remainingTimes;
    this.nowMillis = nowMillis;
  }

  /**
   * Returns a placement with the runs to preempt for it, some of which may be of other teams where
   * a place has to be found as well; returns null if the group has to wait.
   *
   * @param endMillis monotonic time at which the group is expected to end
   * @param allowedWaitMillis how long guaranteed work may wait for its team to release resources
   */
  PreemptionPlanner.@Nullable Plan plan(
      RankedStep ranked,
      TaskGroup group,
      MinionPools.Pool pool,
      MinionTaskLimit taskLimit,
      long endMillis,
      long allowedWaitMillis) {
    WaitingStep waitingStep = ranked.waitingStep();
    Predicate<ActiveRun> mayStop;
    if (ranked.urgency().isGuaranteed()) {
      if (millisUntilRoom(waitingStep, group) <= allowedWaitMillis) {
        return null;
      }
      mayStop = PreemptionPlanner::isPreemptible;
    } else if (quotaCheck.isPassedOverBySmallWork(waitingStep, group)) {
      mayStop =
          run ->
              isOf(run, waitingStep.team())
                  && PreemptionPlanner.isPreemptibleForLarger(run, waitingStep, group);
    } else {
      return null;
    }
    Set<ActiveRun> victims = findVictims(waitingStep, group, mayStop);
    return victims == null
        ? null
        : place(waitingStep, group, pool, taskLimit, endMillis, victims, mayStop);
  }

  private PreemptionPlanner.@Nullable Plan place(
      WaitingStep waitingStep,
      TaskGroup group,
      MinionPools.Pool pool,
      MinionTaskLimit taskLimit,
      long endMillis,
      Set<ActiveRun> victims,
      Predicate<ActiveRun> mayStop) {
    List<Minion> free =
        minionSelector.selectPreferred(waitingStep, group, pool, taskLimit, endMillis);
    if (free != null) {
      return new PreemptionPlanner.Plan(free, List.copyOf(victims), 0);
    }
    Collection<List<Minion>> candidates =
        PlacementFinder.candidateSets(
            waitingStep, group.size(), minionSelector.preferredMinions(group, pool), taskLimit);
    PreemptionPlanner.Plan plan =
        planOn(candidates, waitingStep, group, taskLimit, victims::contains);
    if (plan == null) {
      plan = planOn(candidates, waitingStep, group, taskLimit, mayStop);
    }
    return plan == null ? null : plan.withVictims(victims);
  }

  private PreemptionPlanner.@Nullable Plan planOn(
      Collection<List<Minion>> candidates,
      WaitingStep waitingStep,
      TaskGroup group,
      MinionTaskLimit taskLimit,
      Predicate<ActiveRun> mayStop) {
    return preemptionPlanner.plan(
        waitingStep.demand(), group.size(), candidates, taskLimit, mayStop, nowMillis);
  }

  /**
   * Returns the runs whose end makes room for a group under the quota, cheapest first and without
   * those that are being stopped already, or null if they cannot release enough.
   *
   * @param mayStop whether a run may be a victim
   */
  private @Nullable Set<ActiveRun> findVictims(
      WaitingStep waitingStep, TaskGroup group, Predicate<ActiveRun> mayStop) {
    Resources missing = missing(waitingStep, group);
    List<ActiveRun> candidates = new ArrayList<>();
    for (ActiveRun run : runs.runs()) {
      if (isOf(run, waitingStep.team()) && isResponsive(run)) {
        if (run.isStopRequested()) {
          missing = missing.minus(heldBy(run));
        } else if (mayStop.test(run)) {
          candidates.add(run);
        }
      }
    }
    candidates.sort(Comparator.comparingDouble(run -> preemptionPlanner.costOf(run, nowMillis)));
    Set<ActiveRun> victims = new LinkedHashSet<>();
    for (ActiveRun run : candidates) {
      if (contributes(run, missing)) {
        victims.add(run);
        missing = missing.minus(heldBy(run));
      }
    }
    return missing.fitsIn(Resources.NONE) ? victims : null;
  }

  /**
   * Returns the time in milliseconds until the team is expected to have room for a group without a
   * preemption, {@link RemainingTimes#UNBOUNDED_MILLIS} if it is not.
   */
  private long millisUntilRoom(WaitingStep waitingStep, TaskGroup group) {
    Resources missing = missing(waitingStep, group);
    List<ActiveRun> soonestFirst = new ArrayList<>();
    for (ActiveRun run : runs.runs()) {
      if (isOf(run, waitingStep.team()) && isResponsive(run)) {
        soonestFirst.add(run);
      }
    }
    soonestFirst.sort(Comparator.comparingLong(remainingTimes::remainingMillis));
    for (ActiveRun run : soonestFirst) {
      missing = missing.minus(heldBy(run));
      if (missing.fitsIn(Resources.NONE)) {
        return remainingTimes.remainingMillis(run);
      }
    }
    return RemainingTimes.UNBOUNDED_MILLIS;
  }

  private Resources missing(WaitingStep waitingStep, TaskGroup group) {
    return quotas.shortfall(waitingStep.team(), waitingStep.declaredDemand().times(group.size()));
  }

  private static boolean isOf(ActiveRun run, String team) {
    return run.team().equals(team);
  }

  // A run on a minion that does not respond is released only when its lease has expired.
  private static boolean isResponsive(ActiveRun run) {
    return run.members().stream()
        .noneMatch(member -> !member.isEnded() && member.minion().lease().isSuspect());
  }

  private static boolean contributes(ActiveRun run, Resources missing) {
    Resources held = heldBy(run);
    for (LimitedResource resource : LimitedResource.values()) {
      if (resource.amountIn(missing) > 0 && resource.amountIn(held) > 0) {
        return true;
      }
    }
    return false;
  }

  private static Resources heldBy(ActiveRun run) {
    long members = run.members().stream().filter(member -> !member.isEnded()).count();
    return run.declaredDemand().times(members);
  }
}
