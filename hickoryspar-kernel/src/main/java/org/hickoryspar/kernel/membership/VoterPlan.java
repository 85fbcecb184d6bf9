package org.hickoryspar.kernel.membership;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the voters of a cluster whose instances nobody lists. It keeps twice the number of
 * instances that may be lost, plus one, as voters; replaces a voter whose disk is lost at once, and
 * a voter that is out of reach as soon as another replica can take its place.
 *
 * <p>A voter is removed before its successor is added: with five voters, two of which are lost, the
 * removal needs three answers where an addition would need four.
 */
public final class VoterPlan {

  private final int targetVoters;
  private final long replaceAfterMillis;
  private final Map<String, Long> missingSince = new HashMap<>();

  /**
   * Creates a plan.
   *
   * @param lossesToBear how many instances may be lost at the same time
   * @param replaceAfterMillis how long a voter must be out of reach before it is replaced
   */
  public VoterPlan(int lossesToBear, long replaceAfterMillis) {
    this.targetVoters = 2 * lossesToBear + 1;
    this.replaceAfterMillis = replaceAfterMillis;
  }

  /**
   * Returns how many voters there shall be.
   *
   * @return an odd number
   */
  public int targetVoters() {
    return targetVoters;
  }

  /**
   * Chooses the next step.
   *
   * @param leader the replica that leads
   * @param voters the voters
   * @param learners members that do not vote
   * @param reachable the replicas that are connected, the leader included
   * @param nowMillis monotonic time
   * @return the step, or empty when nothing is to be done
   */
  public Optional<VoterChange> next(
      String leader,
      List<String> voters,
      List<String> learners,
      Collection<ReachableReplica> reachable,
      long nowMillis) {
    requireNonNull(leader, "leader is null");
    Map<String, ReachableReplica> byReplica = new HashMap<>();
    Map<String, String> replicaByInstance = new HashMap<>();
    for (ReachableReplica replica : reachable) {
      byReplica.put(replica.replicaId(), replica);
      replicaByInstance.put(ReachableReplica.instanceOf(replica.replicaId()), replica.replicaId());
    }
    noteMissing(voters, byReplica.keySet(), nowMillis);
    List<ReachableReplica> candidates = candidates(voters, byReplica);
    return lostDisk(voters, replicaByInstance)
        .or(() -> staleLearner(learners, replicaByInstance))
        .or(() -> addition(voters, byReplica, candidates))
        .or(() -> replacement(leader, voters, candidates, nowMillis));
  }

  private void noteMissing(List<String> voters, Collection<String> reachable, long nowMillis) {
    missingSince.keySet().retainAll(voters);
    missingSince.keySet().removeAll(reachable);
    for (String voter : voters) {
      if (!reachable.contains(voter)) {
        missingSince.putIfAbsent(voter, nowMillis);
      }
    }
  }

  private static List<ReachableReplica> candidates(
      List<String> voters, Map<String, ReachableReplica> byReplica) {
    List<ReachableReplica> candidates = new ArrayList<>();
    byReplica.values().stream()
        .filter(replica -> !voters.contains(replica.replicaId()))
        .forEach(candidates::add);
    candidates.sort(
        Comparator.comparingLong(
                (ReachableReplica r) -> votersIn(r.dataCentre(), voters, byReplica))
            .thenComparing(ReachableReplica::replicaId));
    return candidates;
  }

  private static long votersIn(
      String dataCentre, List<String> voters, Map<String, ReachableReplica> byReplica) {
    return voters.stream()
        .map(byReplica::get)
        .filter(replica -> replica != null && replica.dataCentre().equals(dataCentre))
        .count();
  }

  // The instance runs under a new replica id: what the old one acknowledged is gone with its disk.
  private static Optional<VoterChange> lostDisk(
      List<String> voters, Map<String, String> replicaByInstance) {
    for (String voter : voters) {
      String now = replicaByInstance.get(ReachableReplica.instanceOf(voter));
      if (now != null && !now.equals(voter)) {
        return Optional.of(
            new VoterChange.Remove(voter, "its instance came back with an empty disk as " + now));
      }
    }
    return Optional.empty();
  }

  private static Optional<VoterChange> staleLearner(
      List<String> learners, Map<String, String> replicaByInstance) {
    for (String learner : learners) {
      String now = replicaByInstance.get(ReachableReplica.instanceOf(learner));
      if (now != null && !now.equals(learner)) {
        return Optional.of(
            new VoterChange.Remove(learner, "its instance came back with an empty disk as " + now));
      }
    }
    return Optional.empty();
  }

  private Optional<VoterChange> addition(
      List<String> voters,
      Map<String, ReachableReplica> byReplica,
      List<ReachableReplica> candidates) {
    if (voters.size() >= targetVoters || candidates.isEmpty() || byReplica.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new VoterChange.Add(
            candidates.get(0).replicaId(),
            voters.size() + " of " + targetVoters + " voters are there"));
  }

  private Optional<VoterChange> replacement(
      String leader, List<String> voters, List<ReachableReplica> candidates, long nowMillis) {
    if (candidates.isEmpty() && voters.size() <= targetVoters) {
      return Optional.empty();
    }
    for (String voter : voters) {
      Long since = missingSince.get(voter);
      if (!voter.equals(leader) && since != null && nowMillis - since >= replaceAfterMillis) {
        return Optional.of(
            new VoterChange.Remove(voter, "out of reach for " + (nowMillis - since) + " ms"));
      }
    }
    return Optional.empty();
  }
}
