package org.hickoryspar.kernel.dispatch;

import org.hickoryspar.kernel.quota.QuotaRefusal;
import org.jspecify.annotations.Nullable;

/**
 * Why a group waits.
 *
 * @param suitableMinions number of minions that are preferred for the group, regardless of free
 *     resources, -1 if none were looked for
 * @param forecast the expected start, null if it is unknown
 * @param similarGroup a group that found no place in this round, so that no search was made for
 *     this one, null if one was made
 * @param quotaRefusal why the group may not start under the quota of its team, null if it may
 * @param idleMillis for how long idle capacity has met the requirements of the group
 * @param obstacle why that capacity is not used, empty if there is none
 */
record WaitCause(
    int suitableMinions,
    @Nullable Forecast forecast,
    @Nullable String similarGroup,
    @Nullable QuotaRefusal quotaRefusal,
    long idleMillis,
    String obstacle) {

  /** Returns the cause of a group for which a search found no place. */
  static WaitCause noPlace(int suitableMinions, @Nullable Forecast forecast) {
    return new WaitCause(suitableMinions, forecast, null, null, 0, "");
  }

  /** Returns the cause of a group that is skipped because a similar one found no place. */
  static WaitCause skipped(int suitableMinions, String similarGroup) {
    return new WaitCause(suitableMinions, null, similarGroup, null, 0, "");
  }

  /** Returns the cause of a group for which its team has no room; minions are not looked for. */
  static WaitCause quota(QuotaRefusal refusal) {
    return new WaitCause(-1, null, null, refusal, 0, "");
  }

  /** Returns this cause for a group that waits beside idle capacity. */
  WaitCause besideIdleCapacity(long millis, String obstacleText) {
    return new WaitCause(
        suitableMinions, forecast, similarGroup, quotaRefusal, millis, obstacleText);
  }

  /** Returns the cause in words for the log. */
  String reason() {
    if (quotaRefusal != null) {
      return quotaRefusal.reason();
    }
    if (similarGroup != null) {
      return "no room was found for " + similarGroup;
    }
    if (suitableMinions == 0) {
      return "no suitable minion";
    }
    return forecast == null ? "groups of higher rank have precedence" : "the resources are in use";
  }
}
