package org.hickoryspar.kernel.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hickoryspar.kernel.quota.QuotaRefusal;
import org.hickoryspar.kernel.quota.TeamQuotas;
import org.hickoryspar.kernel.workflow.TaskGroup;

/**
 * Decides in each planning round which groups may start under the quotas of their teams. A refused
 * group holds back no other work. Only once it has been refused for too long is what its team
 * releases kept for it, from less urgent work of the same team, so that small work cannot starve a
 * large group; a team that uses less than half of its quota is not held back.
 */
final class QuotaCheck {

  /** A group that was refused for this long gets the next room of its team. */
  private static final long MAX_PASSED_OVER_MILLIS = 8_000;

  private final TeamQuotas quotas;
  private final DurationTracker<TaskGroup> refusedGroups = new DurationTracker<>();
  private final Map<String, String> holderByTeam = new HashMap<>();

  QuotaCheck(TeamQuotas quotas) {
    this.quotas = quotas;
  }

  /** Returns why a group may not start now, or empty if its team has room for it. */
  Optional<QuotaRefusal> check(
      WaitingStep waitingStep, TaskGroup group, Urgency urgency, long nowMillis) {
    String team = waitingStep.team();
    Optional<QuotaRefusal> refusal = quotas.check(team, waitingStep.declaredDemand(), group.size());
    if (refusal.isPresent()) {
      long refusedMillis = refusedGroups.record(group, nowMillis);
      if (refusedMillis >= MAX_PASSED_OVER_MILLIS && quotas.usesHalf(team)) {
        holderByTeam.putIfAbsent(team, waitingStep.nextRunOf(group).toString());
      }
      return refusal;
    }
    // A group that was refused and finds no place now has not had its turn.
    if (refusedGroups.durationMillis(group) > 0) {
      refusedGroups.record(group, nowMillis);
    }
    String holder = urgency.isGuaranteed() ? null : holderByTeam.get(team);
    return holder == null
        ? Optional.empty()
        : Optional.of(new QuotaRefusal.KeptForOther(team, holder));
  }

  /**
   * Returns whether a refused gang has been passed over for too long by work that uses less than
   * half of the quota of its team and is not held back for it.
   */
  boolean isPassedOverBySmallWork(WaitingStep waitingStep, TaskGroup group) {
    return group.size() > 1
        && refusedGroups.durationMillis(group) >= MAX_PASSED_OVER_MILLIS
        && !quotas.usesHalf(waitingStep.team());
  }

  /** Returns the preemption within teams for one planning round. */
  TeamPreemption newPreemption(
      RunTable runs,
      PreemptionPlanner preemptionPlanner,
      MinionSelector minionSelector,
      RemainingTimes remainingTimes,
      long nowMillis) {
    return new TeamPreemption(
        quotas, this, runs, preemptionPlanner, minionSelector, remainingTimes, nowMillis);
  }

  /** Ends a planning round; groups that were not refused in it are no longer passed over. */
  void endRound() {
    refusedGroups.endRound();
    holderByTeam.clear();
  }
}
