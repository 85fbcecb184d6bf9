package org.hickoryspar.kernel.replication;

import java.util.Optional;
import org.hickoryspar.protocol.Membership;
import org.jspecify.annotations.Nullable;

/**
 * A pending membership change, which the leader makes in single-server steps of one log entry each.
 * A step starts only after the previous one and an entry of the leader's own term are committed, so
 * that any two majorities that can decide at the same time have a voter in common.
 */
final class MembershipChange {

  private final long requestId;
  private final @Nullable String added;
  private final @Nullable String removed;
  private final long deadlineNanos;

  MembershipChange(
      long requestId, @Nullable String added, @Nullable String removed, long deadlineNanos) {
    this.requestId = requestId;
    this.added = added;
    this.removed = removed;
    this.deadlineNanos = deadlineNanos;
  }

  long requestId() {
    return requestId;
  }

  boolean isAdding(String replicaId) {
    return replicaId.equals(added);
  }

  boolean isTimedOut(long nowNanos) {
    return nowNanos - deadlineNanos >= 0;
  }

  /** Returns whether all steps of the change are part of the current membership. */
  boolean isDone(Membership current) {
    boolean addedDone = added == null || current.getVotersList().contains(added);
    return addedDone && (removed == null || !isMember(current, removed));
  }

  /** Returns the learner that must catch up before the next step promotes it, if there is one. */
  Optional<String> catchingUpLearner(Membership current) {
    return added != null && current.getLearnersList().contains(added)
        ? Optional.of(added)
        : Optional.empty();
  }

  /**
   * Returns the membership after the next step, which adds the new replica as a learner, promotes
   * it to a voter, or removes the old replica.
   */
  Membership nextMembership(Membership current) {
    String newVoter = added;
    if (newVoter != null && !current.getVotersList().contains(newVoter)) {
      Membership.Builder without = without(current, newVoter);
      return current.getLearnersList().contains(newVoter)
          ? without.addVoters(newVoter).build()
          : without.addLearners(newVoter).build();
    }
    return without(current, removed == null ? "" : removed).build();
  }

  static boolean isMember(Membership membership, String replicaId) {
    return membership.getVotersList().contains(replicaId)
        || membership.getLearnersList().contains(replicaId);
  }

  private static Membership.Builder without(Membership membership, String replicaId) {
    Membership.Builder builder = Membership.newBuilder();
    membership.getVotersList().stream()
        .filter(v -> !v.equals(replicaId))
        .forEach(builder::addVoters);
    membership.getLearnersList().stream()
        .filter(l -> !l.equals(replicaId))
        .forEach(builder::addLearners);
    return builder;
  }
}
