package org.hickoryspar.kernel.scheduling;

import org.jspecify.annotations.Nullable;

/** What a team holds now. */
final class TeamState {

  private final String team;
  private @Nullable TeamPolicy policy;
  private ResourceVector held = ResourceVector.NONE;
  private ResourceVector guaranteed = ResourceVector.NONE;
  private ResourceVector committed = ResourceVector.NONE;

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
    guaranteed = ResourceVector.NONE;
    if (policy != null) {
      for (GangShape shape : policy.guarantees()) {
        guaranteed = guaranteed.plus(shape.perTask().times(shape.tasks()));
      }
    }
  }

  /** Returns what the team's gangs hold and what is reserved for its jobs. */
  ResourceVector held() {
    return held;
  }

  /** Returns what the team's gangs hold that neither may be preempted nor uses a guarantee. */
  ResourceVector committed() {
    return committed;
  }

  void hold(ResourceVector amount) {
    held = held.plus(amount);
  }

  void release(ResourceVector amount) {
    held = held.minus(amount);
  }

  /** Adds to, or with sign -1 subtracts from, what is fixed. */
  void commit(ResourceVector amount, int sign) {
    committed = sign > 0 ? committed.plus(amount) : committed.minus(amount);
  }

  /** Returns the sum of the team's guarantees. */
  ResourceVector guaranteed() {
    return guaranteed;
  }

  double weight() {
    return policy == null ? 1 : policy.weight();
  }

  boolean hasQuotaFor(ResourceVector amount) {
    return policy != null && held.plus(amount).fitsIn(policy.quota());
  }

  /** Returns whether the guarantees still fit in the quota next to more work that stays. */
  boolean hasQuotaForCommitted(ResourceVector amount) {
    return policy != null && committed.plus(amount).plus(guaranteed).fitsIn(policy.quota());
  }
}
