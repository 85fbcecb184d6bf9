package org.hickoryspar.kernel.scheduling;

import org.jspecify.annotations.Nullable;

/** What a team holds now. */
final class TeamState {

  private final String team;
  private @Nullable TeamPolicy policy;
  private ResourceShape held = ResourceShape.NONE;
  private ResourceShape guaranteed = ResourceShape.NONE;
  private ResourceShape fixed = ResourceShape.NONE;

  TeamState(String team) {
    this.team = team;
  }

  String team() {
    return team;
  }

  @Nullable TeamPolicy policy() {
    return policy;
  }

  void setPolicy(@Nullable TeamPolicy policy) {
    this.policy = policy;
    guaranteed = ResourceShape.NONE;
    if (policy != null) {
      for (GangShape shape : policy.guarantees()) {
        guaranteed = guaranteed.plus(shape.perTask().times(shape.tasks()));
      }
    }
  }

  /** Returns what the team's gangs hold and what is reserved for its jobs. */
  ResourceShape held() {
    return held;
  }

  /** Returns what the team's gangs hold that neither may be preempted nor uses a guarantee. */
  ResourceShape fixed() {
    return fixed;
  }

  void hold(ResourceShape amount) {
    held = held.plus(amount);
  }

  void release(ResourceShape amount) {
    held = held.minus(amount);
  }

  /** Adds to, or with sign -1 subtracts from, what is fixed. */
  void fix(ResourceShape amount, int sign) {
    fixed = sign > 0 ? fixed.plus(amount) : fixed.minus(amount);
  }

  /** Returns the sum of the team's guarantees. */
  ResourceShape guaranteed() {
    return guaranteed;
  }

  double weight() {
    return policy == null ? 1 : policy.weight();
  }

  boolean hasQuotaFor(ResourceShape amount) {
    return policy != null && held.plus(amount).fitsIn(policy.quota());
  }

  /** Returns whether the guarantees still fit in the quota next to more work that stays. */
  boolean hasQuotaForFixed(ResourceShape amount) {
    return policy != null && fixed.plus(amount).plus(guaranteed).fitsIn(policy.quota());
  }
}
