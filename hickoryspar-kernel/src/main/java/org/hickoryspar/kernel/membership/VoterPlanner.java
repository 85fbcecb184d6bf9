package org.hickoryspar.kernel.membership;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the voters of a cluster without a static list of instances. To tolerate f failed
 * instances, it maintains 2f + 1 voters. A voter whose disk was lost is replaced immediately; a
 * voter that has been unreachable for a time is replaced as soon as another replica is available.
 *
 * <p>An unreachable voter may still have its disk, on which the others can rely later, so it is
 * removed only after its replacement votes: with 2f voters, f + 1 of them a majority, the loss of f
 * disks would leave no majority for good. A voter whose disk was lost can never vote again and is
 * removed first: of five voters, of which two have failed, the removal needs three
 * acknowledgements, whereas an addition would need four.
 *
 * <p>While replicas of several data centres are available, no data centre keeps a majority of the
 * voters.
 *
 * <p>Not thread-safe.
 */
public final class VoterPlanner {

  private final int targetVoters;
  private final long replaceAfterMillis;
  private final Map<String, Long> unreachableSinceMillis = new HashMap<>();

  /**
   * Creates a planner. The time for which a voter has been unreachable counts from the first call
   * of {@link #observe} or {@link #nextChange} that does not list it as reachable.
   *
   * @param toleratedFailures number of instances that may fail at the same time
   * @param replaceAfterMillis time for which a voter must be unreachable before it is replaced
   */
  public VoterPlanner(int toleratedFailures, long replaceAfterMillis) {
    this.targetVoters = 2 * toleratedFailures + 1;
    this.replaceAfterMillis = replaceAfterMillis;
  }

  /**
   * Returns the target number of voters.
   *
   * @return an odd number
   */
  public int targetVoters() {
    return targetVoters;
  }

  /**
   * Returns the next membership change and records which voters are unreachable.
   *
   * @param view what the leader knows of the cluster
   * @param nowMillis current monotonic time
   * @return the change, or empty if none is needed or possible
   */
  public Optional<VoterChange> nextChange(ClusterView view, long nowMillis) {
    requireNonNull(view, "view is null");
    List<String> voters = view.voters();
    Map<String, ReachableReplica> reachableById = new HashMap<>();
    Map<String, String> replicaByInstance = new HashMap<>();
    for (ReachableReplica replica : view.reachable()) {
      reachableById.put(replica.replicaId(), replica);
      replicaByInstance.put(ReachableReplica.instanceOf(replica.replicaId()), replica.replicaId());
    }
    observe(view, nowMillis);
    List<ReachableReplica> candidates = candidates(voters, reachableById);
    return removeVoterWithLostDisk(voters, replicaByInstance)
        .or(() -> removeLearnerWithLostDisk(view.learners(), replicaByInstance))
        .or(() -> removeSurplusVoter(view, reachableById))
        .or(() -> addMissingVoter(voters, candidates))
        .or(() -> addReplacement(view, candidates, nowMillis))
        .or(() -> spreadVoters(view, reachableById, candidates));
  }

  /**
   * Records which voters are unreachable. Called by replicas that do not lead as well, so that one
   * that becomes the leader does not wait again for a voter that has been unreachable before.
   *
   * @param view what a replica knows of the cluster
   * @param nowMillis current monotonic time
   */
  public void observe(ClusterView view, long nowMillis) {
    unreachableSinceMillis.keySet().retainAll(view.voters());
    for (String voter : view.voters()) {
      if (view.isReachable(voter)) {
        unreachableSinceMillis.remove(voter);
      } else {
        unreachableSinceMillis.putIfAbsent(voter, nowMillis);
      }
    }
  }

  private static List<ReachableReplica> candidates(
      List<String> voters, Map<String, ReachableReplica> reachableById) {
    List<ReachableReplica> candidates = new ArrayList<>();
    reachableById.values().stream()
        .filter(replica -> !voters.contains(replica.replicaId()))
        .forEach(candidates::add);
    candidates.sort(
        Comparator.comparingLong(
                (ReachableReplica r) -> countVotersIn(r.dataCentre(), voters, reachableById))
            .thenComparing(ReachableReplica::replicaId));
    return candidates;
  }

  private static long countVotersIn(
      String dataCentre, List<String> voters, Map<String, ReachableReplica> reachableById) {
    return voters.stream()
        .map(reachableById::get)
        .filter(replica -> replica != null && replica.dataCentre().equals(dataCentre))
        .count();
  }

  // The instance has a new replica identifier: the entries that the old replica acknowledged were
  // lost with its disk.
  private static Optional<VoterChange> removeVoterWithLostDisk(
      List<String> voters, Map<String, String> replicaByInstance) {
    for (String voter : voters) {
      String currentReplica = replicaByInstance.get(ReachableReplica.instanceOf(voter));
      if (currentReplica != null && !currentReplica.equals(voter)) {
        return Optional.of(
            new VoterChange.Remove(
                voter, "its instance restarted with an empty disk as " + currentReplica));
      }
    }
    return Optional.empty();
  }

  private static Optional<VoterChange> removeLearnerWithLostDisk(
      List<String> learners, Map<String, String> replicaByInstance) {
    for (String learner : learners) {
      String currentReplica = replicaByInstance.get(ReachableReplica.instanceOf(learner));
      if (currentReplica != null && !currentReplica.equals(learner)) {
        return Optional.of(
            new VoterChange.Remove(
                learner, "its instance restarted with an empty disk as " + currentReplica));
      }
    }
    return Optional.empty();
  }

  private Optional<VoterChange> addMissingVoter(
      List<String> voters, List<ReachableReplica> candidates) {
    if (voters.size() >= targetVoters || candidates.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new VoterChange.Add(
            candidates.get(0).replicaId(),
            voters.size() + " of " + targetVoters + " voters present"));
  }

  private Optional<VoterChange> addReplacement(
      ClusterView view, List<ReachableReplica> candidates, long nowMillis) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    for (String voter : view.voters()) {
      Long sinceMillis = unreachableSinceMillis.get(voter);
      if (sinceMillis != null && nowMillis - sinceMillis >= replaceAfterMillis) {
        return Optional.of(
            new VoterChange.Add(
                candidates.get(0).replicaId(),
                voter + " has been unreachable for " + (nowMillis - sinceMillis) + " ms"));
      }
    }
    return Optional.empty();
  }

  // A data centre with a majority of the voters could not be lost. Once the replica of another one
  // votes, the surplus voter is removed from the data centre with most voters.
  private Optional<VoterChange> spreadVoters(
      ClusterView view,
      Map<String, ReachableReplica> reachableById,
      List<ReachableReplica> candidates) {
    List<String> voters = view.voters();
    if (candidates.isEmpty() || !reachableById.keySet().containsAll(voters)) {
      return Optional.empty();
    }
    ReachableReplica candidate = candidates.get(0);
    for (String voter : voters) {
      String dataCentre = dataCentreOf(voter, reachableById);
      long count = countVotersIn(dataCentre, voters, reachableById);
      if (count > targetVoters / 2
          && count - countVotersIn(candidate.dataCentre(), voters, reachableById) > 1) {
        return Optional.of(
            new VoterChange.Add(
                candidate.replicaId(), count + " voters in data centre " + dataCentre));
      }
    }
    return Optional.empty();
  }

  private Optional<VoterChange> removeSurplusVoter(
      ClusterView view, Map<String, ReachableReplica> reachableById) {
    List<String> voters = view.voters();
    if (voters.size() <= targetVoters) {
      return Optional.empty();
    }
    Comparator<String> leastUseful =
        Comparator.<String>comparingLong(
                voter -> unreachableSinceMillis.getOrDefault(voter, Long.MAX_VALUE))
            .thenComparing(
                voter -> countVotersIn(dataCentreOf(voter, reachableById), voters, reachableById),
                Comparator.reverseOrder());
    return voters.stream()
        .filter(voter -> !voter.equals(view.replicaId()))
        .min(leastUseful)
        .map(
            voter ->
                new VoterChange.Remove(
                    voter, voters.size() + " voters, of which " + targetVoters + " are needed"));
  }

  private static String dataCentreOf(String voter, Map<String, ReachableReplica> reachableById) {
    ReachableReplica replica = reachableById.get(voter);
    return replica == null ? "" : replica.dataCentre();
  }
}
