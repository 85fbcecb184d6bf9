package org.hickoryspar.kernel.scheduling;

import org.jspecify.annotations.Nullable;

/** The policy of a team and the resources that it holds. */
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

  /** Returns the resources that the gangs of the team hold or that are reserved for its jobs. */
  ResourceVector held() {
    return held;
  }

  /** Returns the part of the held resources that is non-preemptible and under no guarantee. */
  ResourceVector committed() {
    return committed;
  }

  void allocate(ResourceVector amount) {
    held = held.plus(amount);
  }

  void release(ResourceVector amount) {
    held = held.minus(amount);
  }

  /** Adds to the committed resources, or subtracts from them if the sign is negative. */
  void commit(ResourceVector amount, int sign) {
    committed = sign > 0 ? committed.plus(amount) : committed.minus(amount);
  }

  /** Returns the sum of the guarantees of the team. */
  ResourceVector guaranteed() {
    return guaranteed;
  }

  double weight() {
    return policy == null ? 1 : policy.weight();
  }

  boolean hasQuotaFor(ResourceVector amount) {
    return policy != null && held.plus(amount).fitsIn(policy.quota());
  }

  /** Returns whether the quota covers the guarantees and the committed resources plus an amount. */
  boolean hasQuotaForCommitted(ResourceVector amount) {
    return policy != null && committed.plus(amount).plus(guaranteed).fitsIn(policy.quota());
  }
}
