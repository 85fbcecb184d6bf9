package org.hickoryspar.kernel.quota;

import static java.util.Objects.requireNonNull;

import java.util.Optional;
import java.util.function.Function;
import org.hickoryspar.kernel.value.Resources;

/**
 * Compares what teams have in use with their quotas, which may change at any time. Not thread-safe.
 *
 * <pre>{@code
 * TeamQuotas quotas = new TeamQuotas(new QuotaPolicy(0.1), catalog::teamQuota);
 * if (quotas.check(team, task, 4).isEmpty()) {
 *   quotas.usage().add(team, task.times(4));
 * }
 * }</pre>
 */
public final class TeamQuotas {

  private final QuotaPolicy policy;
  private final Function<String, Resources> quotaByTeam;
  private final TeamUsage usage = new TeamUsage();
  private final TeamUsage reservations = new TeamUsage();

  /**
   * Creates quotas of teams that have nothing in use.
   *
   * @param policy decides whether tasks may start
   * @param quotaByTeam returns the current quota of a team; an amount of 0 is no limit
   */
  public TeamQuotas(QuotaPolicy policy, Function<String, Resources> quotaByTeam) {
    this.policy = requireNonNull(policy, "policy is null");
    this.quotaByTeam = requireNonNull(quotaByTeam, "quotaByTeam is null");
  }

  /**
   * Returns what the tasks of the teams have in use.
   *
   * @return the usage, which the caller updates
   */
  public TeamUsage usage() {
    return usage;
  }

  /**
   * Returns what is reserved for tasks that start later. It leaves no room for others, but does not
   * exceed a limit before they start.
   *
   * @return the reservations, which the caller updates
   */
  public TeamUsage reservations() {
    return reservations;
  }

  /**
   * Checks whether a group of tasks may start together now.
   *
   * @param team name of the team
   * @param task demand of one task
   * @param tasks number of tasks in the group
   * @return the cause of the refusal, or empty if the group may start
   */
  public Optional<QuotaRefusal> check(String team, Resources task, int tasks) {
    Resources quota = quotaOf(team);
    return quota.equals(Resources.NONE)
        ? Optional.empty()
        : policy.check(team, quota, taken(team), task, tasks);
  }

  /**
   * Checks whether a group of tasks for which room is reserved may start now. What is reserved for
   * others does not count, as they are checked in turn when they start.
   *
   * @param team name of the team
   * @param task demand of one task
   * @param tasks number of tasks in the group
   * @return the cause of the refusal, or empty if the group may start
   */
  public Optional<QuotaRefusal> checkReserved(String team, Resources task, int tasks) {
    return policy.check(team, quotaOf(team), usage.inUse(team), task, tasks);
  }

  /**
   * Checks whether a group of tasks could start if nothing else of its team ran.
   *
   * @param team name of the team
   * @param task demand of one task
   * @param tasks number of tasks in the group
   * @return the cause of the refusal, or empty if the group can start some time
   */
  public Optional<QuotaRefusal> checkAlone(String team, Resources task, int tasks) {
    return policy.check(team, quotaOf(team), Resources.NONE, task, tasks);
  }

  /**
   * Returns whether a team has more in use than its limit, as after its quota was lowered.
   *
   * @param team name of the team
   * @param task demand of a task of the team that is counted and has not started
   * @return true if the task must not start
   */
  public boolean isExceeded(String team, Resources task) {
    return policy.isExceeded(quotaOf(team), usage.inUse(team), task);
  }

  /**
   * Returns how much a team would have to release for an additional demand to be within its quota.
   *
   * @param team name of the team
   * @param demand the additional demand
   * @return the missing amounts, at least 0 each
   */
  public Resources shortfall(String team, Resources demand) {
    Resources quota = quotaOf(team);
    Resources taken = taken(team);
    requireNonNull(demand, "demand is null");
    return new Resources(
        shortfall(quota.cpuMillicores(), taken.cpuMillicores(), demand.cpuMillicores()),
        shortfall(quota.memoryMegabytes(), taken.memoryMegabytes(), demand.memoryMegabytes()),
        shortfall(quota.accelerators(), taken.accelerators(), demand.accelerators()));
  }

  // What is larger than the quota itself needs all that the team has taken.
  private static long shortfall(long quotaAmount, long taken, long demand) {
    return quotaAmount == 0 ? 0 : Math.min(taken, Math.max(0, taken + demand - quotaAmount));
  }

  /**
   * Returns whether a team has at least half of its quota of any resource in use.
   *
   * @param team name of the team
   * @return true if half of a limited resource is in use
   */
  public boolean usesHalf(String team) {
    return policy.usesHalf(quotaOf(team), usage.inUse(team));
  }

  /**
   * Returns the use and the quota of a team.
   *
   * @param team name of the team
   * @param capacity capacity of all minions, of which the dominant share is computed
   * @return the status
   */
  public TeamQuotaStatus status(String team, Resources capacity) {
    return TeamQuotaStatus.of(team, usage.inUse(team), quotaOf(team), capacity);
  }

  private Resources taken(String team) {
    return usage.inUse(team).plus(reservations.inUse(team));
  }

  private Resources quotaOf(String team) {
    return quotaByTeam.apply(requireNonNull(team, "team is null"));
  }
}
