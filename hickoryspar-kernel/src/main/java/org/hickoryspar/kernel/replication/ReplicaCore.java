package org.hickoryspar.kernel.replication;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.hickoryspar.protocol.AppendResponse;
import org.hickoryspar.protocol.Membership;
import org.hickoryspar.protocol.ReplicationMessage;
import org.hickoryspar.protocol.VoteRequest;
import org.hickoryspar.protocol.VoteResponse;
import org.jspecify.annotations.Nullable;

/**
 * The Raft state machine of one replica, which handles events and returns actions. It reads no
 * clock, starts no thread and does no I/O, so that a run can be replayed from its seed. Not
 * thread-safe.
 *
 * <pre>{@code
 * for (ReplicaAction action : core.step(new ReplicaEvent.Tick(), clockNanos.getAsLong())) {
 *   execute(action);
 * }
 * }</pre>
 *
 * <p>Follows Ongaro, "Consensus: Bridging Theory and Practice" (2014), with pre-vote, check-quorum,
 * leader leases, leadership transfer, learners and single-server membership changes.
 */
public final class ReplicaCore {

  /** Pause between requests for the votes of all voters, which may start at different times. */
  private static final long START_CAMPAIGN_INTERVAL_MILLIS = 30;

  private final ReplicaContext context;
  private final ReplicationReceiver replicationReceiver;
  private final LeaderRequestHandler requestHandler;
  private @Nullable LeaderState leaderState;
  private final Campaign campaign;
  private boolean leaderKnownSinceStart;
  private long nextStartCampaignNanos;
  private String leaderId = "";
  private long leaderContactNanos;
  private long electionDeadlineNanos;
  private ReplicaView view;

  /**
   * Creates a replica from its recovered state.
   *
   * @param replicaId identifier of the replica
   * @param options limits and timeouts
   * @param random source of the election timeouts
   * @param recovered state read from the disk
   * @param lastContactNanos latest monotonic time at which an earlier process of this replica may
   *     have responded to a leader, at most {@code nowNanos}
   * @param nowNanos current monotonic time
   * @throws NullPointerException if an argument is null
   */
  public ReplicaCore(
      String replicaId,
      ReplicaOptions options,
      RandomGenerator random,
      RecoveredState recovered,
      long lastContactNanos,
      long nowNanos) {
    context =
        new ReplicaContext(
            requireNonNull(replicaId, "replicaId is null"),
            requireNonNull(options, "options is null"),
            requireNonNull(random, "random is null"),
            requireNonNull(recovered, "recovered is null"),
            nowNanos);
    replicationReceiver = new ReplicationReceiver(context);
    requestHandler = new LeaderRequestHandler(context);
    campaign = new Campaign(context);
    nextStartCampaignNanos = nowNanos;
    // An earlier process may have responded to a leader just before it ended. The leader may still
    // hold a lease that relies on this response, so the end counts as contact with a leader.
    leaderContactNanos = lastContactNanos;
    electionDeadlineNanos = lastContactNanos + context.randomElectionTimeoutNanos();
    view = createView();
  }

  /**
   * Handles an event.
   *
   * @param event the event
   * @param nowNanos current monotonic time, never less than in an earlier call
   * @return the actions to execute, in order
   * @throws IllegalStateException if a safety property of the log is violated
   */
  public List<ReplicaAction> step(ReplicaEvent event, long nowNanos) {
    requireNonNull(event, "event is null");
    context.beginStep(nowNanos);
    handle(event);
    LeaderState leadership = leaderState;
    if (leadership != null && !leadership.finishStep()) {
      becomeFollower(context.term(), "");
    }
    requestHandler.updateTransfer(leaderState != null, leaderId);
    ReplicaView previousView = view;
    view = createView();
    if (previousView.role() != view.role()
        || previousView.term() != view.term()
        || !previousView.leaderId().equals(view.leaderId())) {
      context.addAction(new ReplicaAction.RoleChanged(view));
    }
    return context.endStep();
  }

  /**
   * Returns the state after the latest step.
   *
   * @return an immutable view, the state after recovery before the first step
   */
  public ReplicaView view() {
    return view;
  }

  private void handle(ReplicaEvent event) {
    if (event instanceof ReplicaEvent.Received received) {
      receive(received.message());
    } else if (event instanceof ReplicaEvent.Tick) {
      if (leaderState == null && context.nowNanos() - electionDeadlineNanos >= 0) {
        startPreVote();
      } else if (isStartCampaignDue()) {
        campaignAtStart();
      }
    } else if (event instanceof ReplicaEvent.Synced synced) {
      context.recordSynced(synced.sequence());
      if (campaign.isVoting()) {
        countVote(context.id());
      }
    } else if (event instanceof ReplicaEvent.SnapshotTaken taken) {
      saveSnapshot(taken);
    } else {
      requestHandler.handle(event, leaderState, leaderId);
    }
  }

  private void receive(ReplicationMessage message) {
    if (!message.getToReplica().equals(context.id())) {
      return;
    }
    String from = message.getFromReplica();
    if (message.hasVoteRequest()) {
      onVoteRequest(from, message.getTerm(), message.getVoteRequest());
      return;
    }
    boolean granted = message.hasVoteResponse() && message.getVoteResponse().getGranted();
    if (granted && message.getVoteResponse().getPreVote()) {
      // A granted pre-vote carries the term of the election to come, which no replica has entered.
      if (campaign.isPreVoting() && message.getTerm() == context.term() + 1) {
        countVote(from);
      }
      return;
    }
    if (message.getTerm() > context.term()) {
      becomeFollower(message.getTerm(), "");
    } else if (message.getTerm() < context.term()) {
      rejectStaleTerm(message);
      return;
    }
    if (granted && campaign.isVoting()) {
      countVote(from);
    } else if (message.hasAppendRequest()) {
      followLeader(from);
      replicationReceiver.onAppend(from, message.getAppendRequest());
    } else if (message.hasSnapshotChunk()) {
      followLeader(from);
      replicationReceiver.onSnapshotChunk(from, message.getSnapshotChunk());
    } else if (message.hasTimeoutNow() && from.equals(leaderId) && context.isVoter()) {
      resetElectionTimer();
      leaderId = "";
      campaign.startTransferVote();
    } else if (leaderState != null && message.hasAppendResponse()) {
      leaderState.onAppendResponse(from, message.getAppendResponse());
    } else if (leaderState != null && message.hasSnapshotChunkResponse()) {
      leaderState.onSnapshotChunkResponse(from, message.getSnapshotChunkResponse());
    }
  }

  // The response carries the current term, upon which a leader of an earlier term steps down.
  private void rejectStaleTerm(ReplicationMessage message) {
    if (message.hasAppendRequest() || message.hasSnapshotChunk()) {
      context.send(
          context
              .message(message.getFromReplica())
              .setAppendResponse(AppendResponse.getDefaultInstance()));
    }
  }

  // -- elections

  private void onVoteRequest(String from, long term, VoteRequest request) {
    boolean mayIgnore =
        !request.getTransfer() && !(request.getUnanimous() && !leaderKnownSinceStart);
    boolean ignored = mayIgnore && hasRecentLeader();
    if (request.getPreVote()) {
      boolean granted =
          !ignored
              && term > context.term()
              && isUpToDate(request)
              && (!request.getUnanimous() || isAheadOfThis(from, request));
      context.send(
          context
              .message(from)
              .setTerm(granted ? term : context.term())
              .setVoteResponse(VoteResponse.newBuilder().setPreVote(true).setGranted(granted)));
      return;
    }
    if (ignored) {
      return;
    }
    if (term > context.term()) {
      becomeFollower(term, "");
    }
    String votedFor = context.hardState().votedFor();
    boolean granted =
        term == context.term()
            && leaderState == null
            && (votedFor.isEmpty() || votedFor.equals(from))
            && isUpToDate(request);
    if (!granted) {
      context.send(context.message(from).setVoteResponse(VoteResponse.getDefaultInstance()));
      return;
    }
    if (votedFor.isEmpty()) {
      context.setHardState(term, from);
    }
    resetElectionTimer();
    context.sendWhenSynced(
        context.message(from).setVoteResponse(VoteResponse.newBuilder().setGranted(true)));
  }

  // Vote requests are ignored while this holds: the lease of the leader relies on it.
  private boolean hasRecentLeader() {
    long minTimeoutMillis = context.options().electionTimeoutMinMillis();
    LeaderState leadership = leaderState;
    if (leadership != null) {
      return leadership.isQuorumActiveWithin(minTimeoutMillis);
    }
    return context.nowNanos() - leaderContactNanos < ReplicaOptions.millisToNanos(minTimeoutMillis);
  }

  private boolean isUpToDate(VoteRequest request) {
    long lastTerm = context.log().lastTerm();
    return request.getLastLogTerm() > lastTerm
        || (request.getLastLogTerm() == lastTerm
            && request.getLastLogIndex() >= context.log().lastIndex());
  }

  // At most one voter is ahead of all others, so that unanimous candidates do not split the votes.
  private boolean isAheadOfThis(String candidate, VoteRequest request) {
    boolean sameLog =
        request.getLastLogTerm() == context.log().lastTerm()
            && request.getLastLogIndex() == context.log().lastIndex();
    return !sameLog || candidate.compareTo(context.id()) < 0;
  }

  private void startPreVote() {
    resetElectionTimer();
    if (context.isVoter()) {
      leaderId = "";
      campaign.startPreVote(false);
      countVote(context.id());
    }
  }

  // Right after the start of a process, vote requests are ignored, because an earlier process may
  // have responded to a leader that still holds a lease. That lease is over once each voter has
  // voted in a later term: its holder is a voter, and steps down when it votes. So a candidate that
  // needs the votes of all voters need not wait.
  private boolean isStartCampaignDue() {
    return leaderState == null
        && !leaderKnownSinceStart
        && context.isVoter()
        && hasRecentLeader()
        && context.nowNanos() - nextStartCampaignNanos >= 0;
  }

  private void campaignAtStart() {
    nextStartCampaignNanos =
        context.nowNanos() + ReplicaOptions.millisToNanos(START_CAMPAIGN_INTERVAL_MILLIS);
    if (campaign.isActive()) {
      campaign.requestMissingVotes();
    } else {
      campaign.startPreVote(true);
      countVote(context.id());
    }
  }

  private void countVote(String from) {
    if (!campaign.countVote(from)) {
      return;
    }
    if (campaign.isPreVoting()) {
      if (!campaign.isUnanimous()) {
        resetElectionTimer();
      }
      campaign.startVote();
    } else {
      campaign.end();
      leaderKnownSinceStart = true;
      leaderId = context.id();
      leaderState = new LeaderState(context);
    }
  }

  // -- roles

  private void followLeader(String newLeaderId) {
    if (leaderState != null) {
      throw new IllegalStateException(
          "found a second leader, " + newLeaderId + ", in term " + context.term());
    }
    becomeFollower(context.term(), newLeaderId);
    leaderKnownSinceStart = true;
    leaderContactNanos = context.nowNanos();
    resetElectionTimer();
  }

  private void becomeFollower(long term, String newLeaderId) {
    LeaderState leadership = leaderState;
    if (leadership != null) {
      leadership.failPendingRequests();
      leaderState = null;
      resetElectionTimer();
    }
    campaign.end();
    leaderId = newLeaderId;
    if (term > context.term()) {
      context.setHardState(term, "");
    }
  }

  private void resetElectionTimer() {
    electionDeadlineNanos = context.nowNanos() + context.randomElectionTimeoutNanos();
  }

  private void saveSnapshot(ReplicaEvent.SnapshotTaken taken) {
    Snapshot latest = context.snapshot();
    long index = taken.lastIndex();
    // A newer snapshot may have been installed from the leader while this one was being taken.
    if (index <= context.log().baseIndex() || (latest != null && index <= latest.lastIndex())) {
      return;
    }
    EntryLog log = context.log();
    context.saveSnapshot(
        new Snapshot(index, log.termAt(index), log.membershipAt(index), taken.data()));
  }

  private ReplicaView createView() {
    Membership membership = context.log().membership();
    LeaderState leadership = leaderState;
    ReplicaRole role =
        leadership != null
            ? ReplicaRole.LEADER
            : campaign.isActive()
                ? ReplicaRole.CANDIDATE
                : context.isVoter() ? ReplicaRole.FOLLOWER : ReplicaRole.LEARNER;
    return new ReplicaView(
        context.id(),
        role,
        context.term(),
        leaderId.isEmpty() ? Optional.empty() : Optional.of(leaderId),
        leadership == null ? 0 : leadership.leaseUntilNanos(),
        leadership != null && leadership.isLeaseUsable(),
        leadership == null ? 0 : leadership.termStartIndex(),
        context.commitIndex(),
        context.log().lastIndex(),
        context.log().sizeBytes(),
        membership.getVotersList(),
        membership.getLearnersList(),
        leadership == null ? Map.of() : leadership.matchIndexes());
  }
}
