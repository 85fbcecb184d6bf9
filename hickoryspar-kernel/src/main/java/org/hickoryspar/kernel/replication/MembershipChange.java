package org.hickoryspar.kernel.replication;

import java.util.Optional;
import org.hickoryspar.protocol.Membership;
import org.jspecify.annotations.Nullable;

/**
 * A change of the members, carried out by the leader in steps of one entry each. A step starts only
 * after the previous one and an entry of the leader's own term are committed, so that any two
 * majorities that may decide at the same time have a voter in common.
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

  boolean adds(String replicaId) {
    return replicaId.equals(added);
  }

  boolean isOverdue(long nowNanos) {
    return nowNanos - deadlineNanos >= 0;
  }

  /** Returns whether nothing is left to do. */
  boolean isDone(Membership now) {
    boolean addedDone = added == null || now.getVotersList().contains(added);
    return addedDone && (removed == null || !isMember(now, removed));
  }

  /** Returns the learner that must catch up before the next step, if the next step needs one. */
  Optional<String> waitsFor(Membership now) {
    return added != null && now.getLearnersList().contains(added)
        ? Optional.of(added)
        : Optional.empty();
  }

  /** Returns the members after the next step. */
  Membership next(Membership now) {
    String newReplica = added;
    if (newReplica != null && !now.getVotersList().contains(newReplica)) {
      Membership.Builder without = without(now, newReplica);
      return now.getLearnersList().contains(newReplica)
          ? without.addVoters(newReplica).build()
          : without.addLearners(newReplica).build();
    }
    return without(now, removed == null ? "" : removed).build();
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
