package org.hickoryspar.kernel.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.hickoryspar.protocol.AppendResponse;
import org.hickoryspar.protocol.LogEntry;
import org.hickoryspar.protocol.Membership;
import org.hickoryspar.protocol.SnapshotChunkResponse;
import org.hickoryspar.protocol.TimeoutNow;
import org.jspecify.annotations.Nullable;

/** State of a replica while it leads, for one term. */
final class LeaderState {

  private static final long NEVER_NANOS = Long.MIN_VALUE / 2;

  private final ReplicaContext context;
  private final Replicator replicator;
  private final long startedNanos;
  private final long termStartIndex;
  private final Map<String, FollowerProgress> progressByReplica = new TreeMap<>();
  private final List<PendingReadBarrier> readBarriers = new ArrayList<>();
  private long outstandingRound;
  private long nextHeartbeatNanos;
  private @Nullable MembershipChange membershipChange;
  private @Nullable LeadershipTransfer transfer;
  private boolean leaseRenounced;

  LeaderState(ReplicaContext context) {
    this.context = context;
    this.replicator = new Replicator(context);
    this.startedNanos = context.nowNanos();
    this.nextHeartbeatNanos = startedNanos;
    updatePeers();
    // Entries of earlier terms are committed only together with an entry of the current term.
    this.termStartIndex = context.appendInCurrentTerm(LogEntry.newBuilder().setNoOp(true));
  }

  long termStartIndex() {
    return termStartIndex;
  }

  /** Returns false once a leadership transfer has ruled out the lease for the rest of the term. */
  boolean isLeaseUsable() {
    return !leaseRenounced;
  }

  /**
   * Returns the monotonic time at which the lease ends, measured from when the latest round that a
   * majority has acknowledged was sent.
   */
  long leaseUntilNanos() {
    return quorumContactNanos() + context.options().leaseNanos();
  }

  /**
   * Returns whether a majority acknowledged a round that was sent within a time, or this replica
   * became the leader within it.
   */
  boolean isQuorumActiveWithin(long millis) {
    long contactNanos = Math.max(quorumContactNanos(), startedNanos);
    return context.nowNanos() - contactNanos <= ReplicaOptions.millisToNanos(millis);
  }

  Map<String, Long> matchIndexes() {
    Map<String, Long> indexes = new TreeMap<>();
    progressByReplica.forEach((peer, progress) -> indexes.put(peer, progress.matchIndex()));
    indexes.put(context.id(), context.log().syncedIndex());
    return indexes;
  }

  void propose(List<ReplicaEvent.Proposal> proposals) {
    for (ReplicaEvent.Proposal proposal : proposals) {
      if (transfer != null) {
        context.reject(proposal.requestId(), "unavailable", "a leadership transfer is in progress");
        continue;
      }
      if (!hasRoomFor(proposal)) {
        context.reject(
            proposal.requestId(), "unavailable", "too many uncommitted bytes in the log");
        continue;
      }
      long index =
          context.appendInCurrentTerm(LogEntry.newBuilder().setCommand(proposal.command()));
      context.addAction(new ReplicaAction.Accepted(proposal.requestId(), index, context.term()));
    }
  }

  // A proposal of any size is accepted when no other one is pending.
  private boolean hasRoomFor(ReplicaEvent.Proposal proposal) {
    long uncommittedBytes = context.log().bytesAfter(context.commitIndex());
    return uncommittedBytes == 0
        || uncommittedBytes + proposal.command().size() <= context.options().maxUncommittedBytes();
  }

  void readBarrier(long requestId) {
    long readIndex = Math.max(context.commitIndex(), termStartIndex);
    readBarriers.add(
        new PendingReadBarrier(requestId, replicator.rounds().lastRound() + 1, readIndex));
  }

  void startTransfer(LeadershipTransfer started) {
    transfer = started;
  }

  /** Returns the recently active voter with the highest match index. */
  Optional<String> transferTarget() {
    String target = null;
    for (String voter : voters()) {
      FollowerProgress progress = progressByReplica.get(voter);
      if (progress != null && isRecentlyActive(progress)) {
        FollowerProgress targetProgress = target == null ? null : progressByReplica.get(target);
        if (targetProgress == null || progress.matchIndex() > targetProgress.matchIndex()) {
          target = voter;
        }
      }
    }
    return Optional.ofNullable(target);
  }

  boolean isTransferring() {
    return transfer != null;
  }

  void changeMembership(MembershipChange requested, @Nullable String cancelledAddition) {
    MembershipChange current = membershipChange;
    if (current != null && cancelledAddition != null && current.isAdding(cancelledAddition)) {
      context.reject(
          current.requestId(), "unavailable", "superseded by the removal of the new replica");
      membershipChange = null;
    }
    if (membershipChange != null || transfer != null) {
      context.reject(
          requested.requestId(),
          "unavailable",
          "another membership change or a leadership transfer is in progress");
    } else {
      membershipChange = requested;
    }
  }

  void onAppendResponse(String from, AppendResponse response) {
    FollowerProgress progress = progressByReplica.get(from);
    if (progress == null) {
      return;
    }
    replicator.recordResponse(progress, response.getRound());
    if (response.getSuccess()) {
      progress.recordMatch(response.getMatchIndex(), context.log().baseIndex());
    } else {
      progress.recordRejection(response.getNextIndexHint(), context.log().lastIndex());
    }
  }

  void onSnapshotChunkResponse(String from, SnapshotChunkResponse response) {
    FollowerProgress progress = progressByReplica.get(from);
    if (progress != null) {
      replicator.recordResponse(progress, response.getRound());
      replicator.onSnapshotChunkResponse(from, progress, response);
    }
  }

  /**
   * Advances the commit index and pending requests after an event, and sends what is due; returns
   * false if this replica must step down.
   */
  boolean finishStep() {
    if (!isQuorumActiveWithin(context.options().leaseMillis())) {
      return false;
    }
    advanceCommitIndex();
    advanceMembershipChange();
    if (!advanceTransfer()) {
      return false;
    }
    boolean heartbeat = context.nowNanos() - nextHeartbeatNanos >= 0 || needsBarrierRound();
    if (heartbeat) {
      nextHeartbeatNanos =
          context.nowNanos()
              + ReplicaOptions.millisToNanos(context.options().heartbeatIntervalMillis());
    }
    progressByReplica.forEach((peer, progress) -> replicator.replicate(peer, progress, heartbeat));
    completeReadBarriers();
    return true;
  }

  /** Rejects the requests that are pending when this replica steps down. */
  void failPendingRequests() {
    for (PendingReadBarrier barrier : readBarriers) {
      context.reject(barrier.requestId, "not-leader", "this replica is no longer the leader");
    }
    MembershipChange current = membershipChange;
    if (current != null) {
      context.reject(current.requestId(), "unknown", "this replica is no longer the leader");
    }
  }

  private void advanceCommitIndex() {
    long index =
        Quorum.majorityValue(
            voters(), v -> isSelf(v) ? context.log().syncedIndex() : matchIndexOf(v));
    if (index > context.commitIndex() && context.log().termAt(index) == context.term()) {
      context.advanceCommitIndex(index);
    }
  }

  private void advanceMembershipChange() {
    MembershipChange current = membershipChange;
    long lastChangeIndex = Math.max(context.log().membershipIndex(), termStartIndex);
    if (current == null || transfer != null || context.commitIndex() < lastChangeIndex) {
      return;
    }
    Membership membership = context.log().membership();
    if (current.isDone(membership)) {
      context.addAction(
          new ReplicaAction.Completed(
              current.requestId(), "voters: " + String.join(", ", membership.getVotersList())));
      membershipChange = null;
    } else if (current.catchingUpLearner(membership).map(this::hasCaughtUp).orElse(true)
        && isMajorityActive(current.nextMembership(membership).getVotersList())) {
      context.appendInCurrentTerm(current.nextMembership(membership));
      updatePeers();
    } else if (current.isTimedOut(context.nowNanos())) {
      context.reject(
          current.requestId(),
          "unavailable",
          "timed out: the new replica has not caught up, or too few voters respond");
      membershipChange = null;
    }
  }

  private boolean hasCaughtUp(String replicaId) {
    FollowerProgress progress = progressByReplica.get(replicaId);
    long lag = context.log().lastIndex() - matchIndexOf(replicaId);
    return progress != null
        && isRecentlyActive(progress)
        && lag <= context.options().maxPromotionLagEntries();
  }

  // Counts a learner that is about to be promoted, which responds to heartbeats as voters do.
  private boolean isMajorityActive(List<String> voters) {
    return Quorum.majorityValue(
            voters,
            v -> {
              FollowerProgress progress = progressByReplica.get(v);
              return isSelf(v) || (progress != null && isRecentlyActive(progress)) ? 1 : 0;
            })
        == 1;
  }

  private boolean advanceTransfer() {
    LeadershipTransfer current = transfer;
    if (current == null) {
      return true;
    }
    if (!current.isTimeoutNowSent() && matchIndexOf(current.target()) == lastIndex()) {
      // Vote requests of the target skip the check for a recent leader that the lease relies on,
      // and TimeoutNow may arrive late: the lease must not be used again in this term.
      leaseRenounced = true;
      current.markTimeoutNowSent();
      context.send(
          context.message(current.target()).setTimeoutNow(TimeoutNow.getDefaultInstance()));
    }
    if (current.isTimedOut(context.nowNanos())) {
      if (current.isTimeoutNowSent()) {
        return false;
      }
      transfer = null;
    }
    return true;
  }

  // A round for read barriers starts only after a majority has acknowledged the previous one, so
  // that barriers that arrive in the meantime share a round.
  private boolean needsBarrierRound() {
    return outstandingRound <= quorumAckedRound()
        && readBarriers.stream().anyMatch(b -> b.round > replicator.rounds().lastRound());
  }

  private void completeReadBarriers() {
    long ackedRound = quorumAckedRound();
    outstandingRound = replicator.rounds().lastRound();
    for (PendingReadBarrier barrier : List.copyOf(readBarriers)) {
      if (barrier.round <= ackedRound) {
        readBarriers.remove(barrier);
        context.addAction(
            new ReplicaAction.ReadBarrierPassed(barrier.requestId, barrier.readIndex));
      }
    }
  }

  private long quorumAckedRound() {
    return Quorum.majorityValue(
        voters(),
        v -> {
          FollowerProgress progress = progressByReplica.get(v);
          return isSelf(v) ? Long.MAX_VALUE : progress == null ? 0 : progress.ackedRound();
        });
  }

  private long quorumContactNanos() {
    return Quorum.majorityValue(
        voters(),
        v -> {
          FollowerProgress progress = progressByReplica.get(v);
          return isSelf(v)
              ? context.nowNanos()
              : progress == null ? NEVER_NANOS : progress.lastContactNanos(NEVER_NANOS);
        });
  }

  private void updatePeers() {
    Membership membership = context.log().membership();
    progressByReplica.keySet().removeIf(peer -> !MembershipChange.isMember(membership, peer));
    List<String> members = new ArrayList<>(membership.getVotersList());
    members.addAll(membership.getLearnersList());
    for (String member : members) {
      if (!isSelf(member)) {
        progressByReplica.computeIfAbsent(member, m -> new FollowerProgress(lastIndex() + 1));
      }
    }
  }

  private boolean isRecentlyActive(FollowerProgress progress) {
    long windowNanos = ReplicaOptions.millisToNanos(context.options().electionTimeoutMinMillis());
    return progress.isActiveSince(context.nowNanos() - windowNanos);
  }

  private long matchIndexOf(String peer) {
    FollowerProgress progress = progressByReplica.get(peer);
    return progress == null ? 0 : progress.matchIndex();
  }

  private List<String> voters() {
    return context.log().membership().getVotersList();
  }

  private boolean isSelf(String replicaId) {
    return replicaId.equals(context.id());
  }

  private long lastIndex() {
    return context.log().lastIndex();
  }

  private record PendingReadBarrier(long requestId, long round, long readIndex) {}
}
