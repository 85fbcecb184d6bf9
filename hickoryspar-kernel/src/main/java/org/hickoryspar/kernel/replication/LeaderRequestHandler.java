package org.hickoryspar.kernel.replication;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Requests of the owner of a replica that only a leader can serve. A replica that does not lead
 * rejects them and names the leader that it knows.
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
   * @param leaderId replica that leads, empty when none is known
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
        requestId, "not-leader", leaderId.isEmpty() ? "no leader is known" : leaderId + " leads");
  }

  private void startTransfer(LeaderState leaderState, long requestId) {
    Optional<String> target = leaderState.transferTarget();
    if (target.isEmpty() || transfer != null) {
      context.reject(requestId, "unavailable", "no other voter can take over now");
      return;
    }
    long timeoutNanos = ReplicaOptions.millisToNanos(context.options().electionTimeoutMinMillis());
    LeadershipTransfer startedTransfer =
        new LeadershipTransfer(requestId, target.get(), context.nowNanos() + timeoutNanos);
    transfer = startedTransfer;
    leaderState.startTransfer(startedTransfer);
  }

  /**
   * Ends a transfer when its outcome is known or its time is up.
   *
   * @param isLeader whether this replica leads
   * @param leaderId replica that leads, empty when none is known
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
      context.reject(current.requestId(), "unavailable", "no new leader is known yet");
      transfer = null;
    }
  }

  private void changeMembership(
      LeaderState leaderState, long requestId, @Nullable String added, @Nullable String removed) {
    if (context.id().equals(removed)) {
      context.reject(requestId, "unavailable", "the leader cannot be removed; transfer it first");
      return;
    }
    Optional<String> otherVoter =
        added == null ? Optional.empty() : otherVoterOnInstanceOf(added, removed);
    if (otherVoter.isPresent()) {
      // Its messages would reach the new replica and be dropped: a voter that can never answer.
      context.reject(
          requestId,
          "instance-has-voter",
          "expected " + otherVoter.get() + " to be replaced or removed");
      return;
    }
    long timeoutNanos =
        ReplicaOptions.millisToNanos(context.options().membershipChangeTimeoutMillis());
    leaderState.changeMembership(
        new MembershipChange(requestId, added, removed, context.nowNanos() + timeoutNanos),
        added == null ? removed : null);
  }

  /** Finds another voter on the instance of a replica. */
  private Optional<String> otherVoterOnInstanceOf(String added, @Nullable String removed) {
    String instancePrefix = added.substring(0, added.lastIndexOf('/') + 1);
    return context.log().membership().getVotersList().stream()
        .filter(v -> !instancePrefix.isEmpty() && v.startsWith(instancePrefix))
        .filter(v -> !v.equals(added) && !v.equals(removed))
        .findFirst();
  }
}
