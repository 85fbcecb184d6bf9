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

/** What a replica does while it leads, for one term. */
final class LeaderState {

  private static final long NEVER_NANOS = Long.MIN_VALUE / 2;

  private final ReplicaContext context;
  private final Replicator replicator;
  private final long sinceNanos;
  private final long firstIndex;
  private final Map<String, Progress> progress = new TreeMap<>();
  private final List<Barrier> barriers = new ArrayList<>();
  private long barrierRound;
  private long nextHeartbeatNanos;
  private @Nullable MembershipChange change;
  private @Nullable LeadershipTransfer transfer;
  private boolean leaseRenounced;

  LeaderState(ReplicaContext context) {
    this.context = context;
    this.replicator = new Replicator(context);
    this.sinceNanos = context.nowNanos();
    this.nextHeartbeatNanos = sinceNanos;
    updatePeers();
    // Entries of earlier terms are committed through this one.
    this.firstIndex = context.appendOwn(LogEntry.newBuilder().setNoOp(true));
  }

  long firstIndex() {
    return firstIndex;
  }

  boolean mayGrant() {
    return !leaseRenounced;
  }

  /** Returns when the lease ends; it counts from when the answered round was sent. */
  long leaseUntilNanos() {
    return contactNanos() + context.options().leaseNanos();
  }

  /** Returns whether a majority answered within a time. */
  boolean heardMajorityWithin(long millis) {
    long contact = Math.max(contactNanos(), sinceNanos);
    return context.nowNanos() - contact <= ReplicaOptions.nanos(millis);
  }

  Map<String, Long> matchIndexes() {
    Map<String, Long> indexes = new TreeMap<>();
    progress.forEach((peer, p) -> indexes.put(peer, p.matchIndex()));
    indexes.put(context.id(), context.log().syncedIndex());
    return indexes;
  }

  void propose(List<ReplicaEvent.Proposal> proposals) {
    for (ReplicaEvent.Proposal proposal : proposals) {
      if (transfer != null) {
        context.reject(proposal.requestId(), "unavailable", "leadership is being handed over");
        continue;
      }
      long index = context.appendOwn(LogEntry.newBuilder().setCommand(proposal.command()));
      context.act(new ReplicaAction.Accepted(proposal.requestId(), index, context.term()));
    }
  }

  void readBarrier(long requestId) {
    long readIndex = Math.max(context.commitIndex(), firstIndex);
    barriers.add(new Barrier(requestId, replicator.rounds().last() + 1, readIndex));
  }

  void startTransfer(LeadershipTransfer started) {
    transfer = started;
  }

  /** Chooses the voter that lags least among those that answered lately. */
  Optional<String> transferTarget() {
    String best = null;
    for (String voter : voters()) {
      Progress p = progress.get(voter);
      if (p != null && isHeard(p)) {
        Progress bestProgress = best == null ? null : progress.get(best);
        if (bestProgress == null || p.matchIndex() > bestProgress.matchIndex()) {
          best = voter;
        }
      }
    }
    return Optional.ofNullable(best);
  }

  boolean isTransferring() {
    return transfer != null;
  }

  void changeMembership(MembershipChange requested, @Nullable String cancels) {
    MembershipChange current = change;
    if (current != null && cancels != null && current.adds(cancels)) {
      context.reject(current.requestId(), "unavailable", "the new replica is being removed");
      change = null;
    }
    if (change != null || transfer != null) {
      context.reject(
          requested.requestId(), "unavailable", "another change of the members is in progress");
    } else {
      change = requested;
    }
  }

  void onAppendResponse(String from, AppendResponse response) {
    Progress p = progress.get(from);
    if (p == null) {
      return;
    }
    replicator.answered(p, response.getRound());
    if (response.getSuccess()) {
      p.matched(response.getMatchIndex(), context.log().baseIndex());
    } else {
      p.refused(response.getNextIndexHint(), context.log().lastIndex());
    }
  }

  void onChunkResponse(String from, SnapshotChunkResponse response) {
    Progress p = progress.get(from);
    if (p != null) {
      replicator.answered(p, response.getRound());
      replicator.chunkAnswered(from, p, response);
    }
  }

  /** Does what the event made possible; returns false when the replica must stop leading. */
  boolean finishStep() {
    if (!heardMajorityWithin(context.options().leaseMillis())) {
      return false;
    }
    advanceCommit();
    advanceMembership();
    if (!advanceTransfer()) {
      return false;
    }
    boolean heartbeat = context.nowNanos() - nextHeartbeatNanos >= 0 || barrierNeedsRound();
    if (heartbeat) {
      nextHeartbeatNanos =
          context.nowNanos() + ReplicaOptions.nanos(context.options().heartbeatMillis());
    }
    progress.forEach((peer, p) -> replicator.replicate(peer, p, heartbeat));
    passBarriers();
    return true;
  }

  /** Fails what waits for this leader. */
  void stop() {
    for (Barrier barrier : barriers) {
      context.reject(barrier.requestId, "not-leader", "this replica no longer leads");
    }
    MembershipChange current = change;
    if (current != null) {
      context.reject(current.requestId(), "unknown", "this replica no longer leads");
    }
  }

  private void advanceCommit() {
    long index =
        Quorum.reached(voters(), v -> isSelf(v) ? context.log().syncedIndex() : matchIndexOf(v));
    if (index > context.commitIndex() && context.log().termAt(index) == context.term()) {
      context.commitTo(index);
    }
  }

  private void advanceMembership() {
    MembershipChange current = change;
    long lastChange = Math.max(context.log().membershipIndex(), firstIndex);
    if (current == null || transfer != null || context.commitIndex() < lastChange) {
      return;
    }
    Membership now = context.log().membership();
    if (current.isDone(now)) {
      context.act(
          new ReplicaAction.Completed(
              current.requestId(), "voters: " + String.join(", ", now.getVotersList())));
      change = null;
    } else if (current.waitsFor(now).map(this::hasCaughtUp).orElse(true)
        && hasHeardMajority(current.next(now).getVotersList())) {
      context.appendOwn(current.next(now));
      updatePeers();
    } else if (current.isOverdue(context.nowNanos())) {
      context.reject(
          current.requestId(),
          "unavailable",
          "the new replica has not caught up, or too few voters answer");
      change = null;
    }
  }

  private boolean hasCaughtUp(String replicaId) {
    Progress p = progress.get(replicaId);
    long lag = context.log().lastIndex() - matchIndexOf(replicaId);
    return p != null && isHeard(p) && lag <= context.options().catchUpEntries();
  }

  // A learner that is about to be added answers heartbeats like the voters do.
  private boolean hasHeardMajority(List<String> voters) {
    return Quorum.reached(
            voters,
            v -> {
              Progress p = progress.get(v);
              return isSelf(v) || (p != null && isHeard(p)) ? 1 : 0;
            })
        == 1;
  }

  private boolean advanceTransfer() {
    LeadershipTransfer current = transfer;
    if (current == null) {
      return true;
    }
    if (!current.isElectionAsked() && matchIndexOf(current.target()) == lastIndex()) {
      // The target's election ignores the promise that the lease rests on, now or whenever the
      // message arrives; no lease may be used again in this term.
      leaseRenounced = true;
      current.electionAsked();
      context.send(
          context.message(current.target()).setTimeoutNow(TimeoutNow.getDefaultInstance()));
    }
    if (current.isOverdue(context.nowNanos())) {
      if (current.isElectionAsked()) {
        return false;
      }
      transfer = null;
    }
    return true;
  }

  private boolean barrierNeedsRound() {
    return barrierRound <= confirmedRound()
        && barriers.stream().anyMatch(b -> b.round > replicator.rounds().last());
  }

  private void passBarriers() {
    long confirmed = confirmedRound();
    barrierRound = replicator.rounds().last();
    for (Barrier barrier : List.copyOf(barriers)) {
      if (barrier.round <= confirmed) {
        barriers.remove(barrier);
        context.act(new ReplicaAction.BarrierPassed(barrier.requestId, barrier.readIndex));
      }
    }
  }

  private long confirmedRound() {
    return Quorum.reached(
        voters(),
        v -> {
          Progress p = progress.get(v);
          return isSelf(v) ? Long.MAX_VALUE : p == null ? 0 : p.ackedRound();
        });
  }

  private long contactNanos() {
    return Quorum.reached(
        voters(),
        v -> {
          Progress p = progress.get(v);
          return isSelf(v)
              ? context.nowNanos()
              : p == null ? NEVER_NANOS : p.contactNanos(NEVER_NANOS);
        });
  }

  private void updatePeers() {
    Membership membership = context.log().membership();
    progress.keySet().removeIf(peer -> !MembershipChange.isMember(membership, peer));
    List<String> members = new ArrayList<>(membership.getVotersList());
    members.addAll(membership.getLearnersList());
    for (String member : members) {
      if (!isSelf(member)) {
        progress.computeIfAbsent(member, m -> new Progress(lastIndex() + 1));
      }
    }
  }

  private boolean isHeard(Progress p) {
    long since = ReplicaOptions.nanos(context.options().electionTimeoutMinMillis());
    return p.heardSince(context.nowNanos() - since);
  }

  private long matchIndexOf(String peer) {
    Progress p = progress.get(peer);
    return p == null ? 0 : p.matchIndex();
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

  private record Barrier(long requestId, long round, long readIndex) {}
}
