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
 * Chooses the voters of a cluster without a static list of instances. To tolerate f failed
 * instances, it maintains 2f + 1 voters. A voter whose disk was lost is replaced immediately; a
 * voter that has been unreachable for a time is replaced as soon as another replica is available.
 *
 * <p>A voter is removed before its replacement is added: with five voters, of which two have
 * failed, the removal needs three acknowledgements, whereas an addition would need four.
 *
 * <p>Not thread-safe.
 */
public final class VoterPlanner {

  private final int targetVoters;
  private final long replaceAfterMillis;
  private final Map<String, Long> unreachableSinceMillis = new HashMap<>();

  /**
   * Creates a planner. The time for which a voter has been unreachable counts from the first call
   * of {@link #nextChange} that does not list it as reachable.
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
    updateUnreachable(voters, reachableById.keySet(), nowMillis);
    List<ReachableReplica> candidates = candidates(voters, reachableById);
    return removeVoterWithLostDisk(voters, replicaByInstance)
        .or(() -> removeLearnerWithLostDisk(view.learners(), replicaByInstance))
        .or(() -> addVoter(voters, reachableById, candidates))
        .or(() -> removeUnreachableVoter(view.replicaId(), voters, candidates, nowMillis));
  }

  private void updateUnreachable(
      List<String> voters, Collection<String> reachable, long nowMillis) {
    unreachableSinceMillis.keySet().retainAll(voters);
    unreachableSinceMillis.keySet().removeAll(reachable);
    for (String voter : voters) {
      if (!reachable.contains(voter)) {
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

  private Optional<VoterChange> addVoter(
      List<String> voters,
      Map<String, ReachableReplica> reachableById,
      List<ReachableReplica> candidates) {
    if (voters.size() >= targetVoters || candidates.isEmpty() || reachableById.isEmpty()) {
      return Optional.empty();
    }
    return Optional.of(
        new VoterChange.Add(
            candidates.get(0).replicaId(),
            voters.size() + " of " + targetVoters + " voters present"));
  }

  private Optional<VoterChange> removeUnreachableVoter(
      String leader, List<String> voters, List<ReachableReplica> candidates, long nowMillis) {
    if (candidates.isEmpty() && voters.size() <= targetVoters) {
      return Optional.empty();
    }
    for (String voter : voters) {
      Long sinceMillis = unreachableSinceMillis.get(voter);
      if (!voter.equals(leader)
          && sinceMillis != null
          && nowMillis - sinceMillis >= replaceAfterMillis) {
        return Optional.of(
            new VoterChange.Remove(voter, "unreachable for " + (nowMillis - sinceMillis) + " ms"));
      }
    }
    return Optional.empty();
  }
}
