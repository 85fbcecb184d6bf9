package org.hickoryspar.kernel.scheduling;

import org.jspecify.annotations.Nullable;

/** What a team holds now. */
final class TeamState {

  private final String team;
  private @Nullable TeamPolicy policy;
  private ResourceShape held = ResourceShape.NONE;
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

  void fix(ResourceShape amount) {
    fixed = fixed.plus(amount);
  }

  void unfix(ResourceShape amount) {
    fixed = fixed.minus(amount);
  }

  boolean hasQuotaFor(ResourceShape amount) {
    return policy != null && held.plus(amount).fitsIn(policy.quota());
  }
}
