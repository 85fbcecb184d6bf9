package org.hickoryspar.kernel.replication;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hickoryspar.protocol.ReplicationMessage;
import org.hickoryspar.protocol.VoteRequest;

/**
 * The attempt of a replica to become the leader: a pre-vote, which changes nothing at the other
 * voters, and then the vote. Needs the votes of a majority or, if it is unanimous, of all voters.
 */
final class Campaign {

  private enum Phase {
    NONE,
    PRE_VOTE,
    VOTE
  }

  private final ReplicaContext context;
  private final Set<String> grantedVotes = new HashSet<>();
  private Phase phase = Phase.NONE;
  private boolean unanimous;
  private boolean transfer;

  Campaign(ReplicaContext context) {
    this.context = context;
  }

  boolean isActive() {
    return phase != Phase.NONE;
  }

  boolean isPreVoting() {
    return phase == Phase.PRE_VOTE;
  }

  boolean isVoting() {
    return phase == Phase.VOTE;
  }

  boolean isUnanimous() {
    return unanimous;
  }

  /** Requests pre-votes for the next term. */
  void startPreVote(boolean ofAllVoters) {
    phase = Phase.PRE_VOTE;
    unanimous = ofAllVoters;
    transfer = false;
    grantedVotes.clear();
    requestMissingVotes();
  }

  /** Enters the next term and requests votes once the own vote is synced. */
  void startVote() {
    phase = Phase.VOTE;
    grantedVotes.clear();
    context.setHardState(context.term() + 1, context.id());
    requestMissingVotes();
  }

  /** Enters the next term at the request of the leader, whom the other voters need not wait for. */
  void startTransferVote() {
    unanimous = false;
    transfer = true;
    startVote();
  }

  void end() {
    phase = Phase.NONE;
  }

  /** Requests the votes that have not been granted; the other voters may not have been reached. */
  void requestMissingVotes() {
    for (String voter : voters()) {
      if (voter.equals(context.id()) || grantedVotes.contains(voter)) {
        continue;
      }
      if (isPreVoting()) {
        context.send(voteRequest(voter).setTerm(context.term() + 1));
      } else {
        context.sendWhenSynced(voteRequest(voter));
      }
    }
  }

  private ReplicationMessage.Builder voteRequest(String voter) {
    return context
        .message(voter)
        .setVoteRequest(
            VoteRequest.newBuilder()
                .setPreVote(isPreVoting())
                .setLastLogIndex(context.log().lastIndex())
                .setLastLogTerm(context.log().lastTerm())
                .setTransfer(transfer)
                .setUnanimous(unanimous));
  }

  /** Counts a vote; returns whether enough votes are granted. The own vote counts once synced. */
  boolean countVote(String from) {
    if (from.equals(context.id()) && !context.isHardStateSynced()) {
      return false;
    }
    grantedVotes.add(from);
    return unanimous
        ? grantedVotes.containsAll(voters())
        : Quorum.isMajority(voters(), grantedVotes);
  }

  private List<String> voters() {
    return context.log().membership().getVotersList();
  }
}
