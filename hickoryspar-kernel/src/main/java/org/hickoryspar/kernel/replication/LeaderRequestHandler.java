package org.hickoryspar.kernel.replication;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Handles the requests that only a leader can serve. On a replica that does not lead, they are
 * rejected as {@code "not-leader"} with the identifier of the leader, if it is known.
 */
final class LeaderRequestHandler {

  private final ReplicaContext context;
  private @Nullable LeadershipTransfer transfer;

  LeaderRequestHandler(ReplicaContext context) {
    this.context = context;
  }

  /**
   * Handles a request.
   *
   * @param event the request
   * @param leaderState state of this replica as the leader, null while it does not lead
   * @param leaderId the current leader, empty if unknown
   */
  void handle(ReplicaEvent event, @Nullable LeaderState leaderState, String leaderId) {
    if (leaderState == null) {
      rejectNotLeader(event, leaderId);
    } else if (event instanceof ReplicaEvent.Propose propose) {
      leaderState.propose(propose.proposals());
    } else if (event instanceof ReplicaEvent.ReadBarrier barrier) {
      leaderState.readBarrier(barrier.requestId());
    } else if (event instanceof ReplicaEvent.TransferLeadership request) {
      startTransfer(leaderState, request.requestId());
    } else if (event instanceof ReplicaEvent.AddVoter add) {
      changeMembership(leaderState, add.requestId(), add.replicaId(), add.replaces().orElse(null));
    } else if (event instanceof ReplicaEvent.RemoveReplica remove) {
      changeMembership(leaderState, remove.requestId(), null, remove.replicaId());
    }
  }

  private void rejectNotLeader(ReplicaEvent event, String leaderId) {
    if (event instanceof ReplicaEvent.Propose propose) {
      propose.proposals().forEach(proposal -> rejectNotLeader(proposal.requestId(), leaderId));
    } else if (event instanceof ReplicaEvent.ReadBarrier barrier) {
      rejectNotLeader(barrier.requestId(), leaderId);
    } else if (event instanceof ReplicaEvent.TransferLeadership request) {
      rejectNotLeader(request.requestId(), leaderId);
    } else if (event instanceof ReplicaEvent.AddVoter add) {
      rejectNotLeader(add.requestId(), leaderId);
    } else if (event instanceof ReplicaEvent.RemoveReplica remove) {
      rejectNotLeader(remove.requestId(), leaderId);
    }
  }

  private void rejectNotLeader(long requestId, String leaderId) {
    context.reject(
        requestId,
        "not-leader",
        leaderId.isEmpty() ? "no leader is known" : leaderId + " is the leader");
  }

  private void startTransfer(LeaderState leaderState, long requestId) {
    Optional<String> target = leaderState.transferTarget();
    if (target.isEmpty() || transfer != null) {
      context.reject(
          requestId,
          "unavailable",
          "no voter can take over now, or another transfer is in progress");
      return;
    }
    long timeoutNanos = ReplicaOptions.millisToNanos(context.options().electionTimeoutMinMillis());
    LeadershipTransfer startedTransfer =
        new LeadershipTransfer(requestId, target.get(), context.nowNanos() + timeoutNanos);
    transfer = startedTransfer;
    leaderState.startTransfer(startedTransfer);
  }

  /**
   * Completes the pending transfer once another leader is known, or rejects it once its deadline
   * has passed.
   *
   * @param isLeader whether this replica leads
   * @param leaderId the current leader, empty if unknown
   */
  void updateTransfer(boolean isLeader, String leaderId) {
    LeadershipTransfer current = transfer;
    if (current == null) {
      return;
    }
    if (!isLeader && !leaderId.isEmpty()) {
      context.addAction(new ReplicaAction.Completed(current.requestId(), leaderId));
      transfer = null;
    } else if (current.isTimedOut(context.nowNanos())) {
      context.reject(current.requestId(), "unavailable", "timed out: no new leader is known");
      transfer = null;
    }
  }

  private void changeMembership(
      LeaderState leaderState, long requestId, @Nullable String added, @Nullable String removed) {
    if (context.id().equals(removed)) {
      context.reject(
          requestId, "unavailable", "the leader cannot be removed; transfer leadership first");
      return;
    }
    Optional<String> otherVoter =
        added == null ? Optional.empty() : otherVoterOnInstanceOf(added, removed);
    if (otherVoter.isPresent()) {
      // Messages are routed by instance: those to the other voter would reach the new replica and
      // be dropped, so the other voter could never respond.
      context.reject(
          requestId,
          "instance-has-voter",
          "expected voter " + otherVoter.get() + " of the same instance to be replaced or removed");
      return;
    }
    long timeoutNanos =
        ReplicaOptions.millisToNanos(context.options().membershipChangeTimeoutMillis());
    leaderState.changeMembership(
        new MembershipChange(requestId, added, removed, context.nowNanos() + timeoutNanos),
        added == null ? removed : null);
  }

  /** Finds a voter on the instance of the added replica that is not the removed one. */
  private Optional<String> otherVoterOnInstanceOf(String added, @Nullable String removed) {
    String instancePrefix = added.substring(0, added.lastIndexOf('/') + 1);
    return context.log().membership().getVotersList().stream()
        .filter(v -> !instancePrefix.isEmpty() && v.startsWith(instancePrefix))
        .filter(v -> !v.equals(added) && !v.equals(removed))
        .findFirst();
  }
}
