package org.hickoryspar.kernel.quota;

import static java.util.Objects.requireNonNull;

import com.google.common.math.LongMath;
import java.util.Optional;
import org.hickoryspar.kernel.value.Resources;

/**
 * Decides whether tasks may start under the quota of their team. The limit of a team is its quota,
 * with a tolerance, and one task more. Tasks are started up to the quota itself; the rest of the
 * limit is for a group of a team that uses less than half of its quota, so that a large group does
 * not wait while most of the quota is unused.
 *
 * @param tolerance share of its quota by which a team may exceed it, from 0
 */
public record QuotaPolicy(double tolerance) {

  /**
   * Checks the tolerance.
   *
   * @throws IllegalArgumentException if the tolerance is negative or not a number
   */
  public QuotaPolicy {
    if (!(tolerance >= 0)) {
      throw new IllegalArgumentException("tolerance must be at least 0");
    }
  }

  /**
   * Checks whether a group of tasks may start together.
   *
   * @param team name of the team
   * @param quota quota of the team; an amount of 0 is no limit
   * @param inUse what the team has in use
   * @param task demand of one task
   * @param tasks number of tasks in the group
   * @return the cause of the refusal, or empty if the group may start
   */
  public Optional<QuotaRefusal> check(
      String team, Resources quota, Resources inUse, Resources task, int tasks) {
    requireNonNull(team, "team is null");
    boolean usesLittle = !usesHalf(quota, requireNonNull(inUse, "inUse is null"));
    Resources demand = requireNonNull(task, "task is null").times(tasks);
    for (LimitedResource resource : LimitedResource.values()) {
      long quotaAmount = resource.amountIn(requireNonNull(quota, "quota is null"));
      long limit = usesLittle ? limit(quotaAmount, resource.amountIn(task)) : quotaAmount;
      long inUseAmount = resource.amountIn(inUse);
      long demanded = resource.amountIn(demand);
      if (quotaAmount > 0 && LongMath.saturatedAdd(inUseAmount, demanded) > limit) {
        return Optional.of(
            new QuotaRefusal.Exceeded(team, resource, inUseAmount, demanded, quotaAmount));
      }
    }
    return Optional.empty();
  }

  /**
   * Returns whether a team has at least half of its quota of any resource in use.
   *
   * @param quota quota of the team; an amount of 0 is no limit
   * @param inUse what the team has in use
   * @return true if half of a limited resource is in use
   */
  public boolean usesHalf(Resources quota, Resources inUse) {
    requireNonNull(inUse, "inUse is null");
    for (LimitedResource resource : LimitedResource.values()) {
      long quotaAmount = resource.amountIn(requireNonNull(quota, "quota is null"));
      if (quotaAmount > 0 && resource.amountIn(inUse) >= quotaAmount - quotaAmount / 2) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns whether a team has more in use than its limit, as after its quota was lowered.
   *
   * @param quota quota of the team; an amount of 0 is no limit
   * @param inUse what the team has in use, with the task
   * @param task demand of the task that may exceed the quota
   * @return true if the task must not start
   */
  public boolean isExceeded(Resources quota, Resources inUse, Resources task) {
    requireNonNull(inUse, "inUse is null");
    for (LimitedResource resource : LimitedResource.values()) {
      long quotaAmount = resource.amountIn(requireNonNull(quota, "quota is null"));
      if (quotaAmount > 0
          && resource.amountIn(inUse) > limit(quotaAmount, resource.amountIn(task))) {
        return true;
      }
    }
    return false;
  }

  private long limit(long quotaAmount, long taskAmount) {
    return LongMath.saturatedAdd((long) (quotaAmount * (1 + tolerance)), taskAmount);
  }
}
