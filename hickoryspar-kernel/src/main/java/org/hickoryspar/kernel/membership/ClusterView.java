package org.hickoryspar.kernel.membership;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * What one control replica knows of the members of the cluster.
 *
 * @param replicaId the replica that knows it
 * @param voters the voters
 * @param learners the learners
 * @param reachable the replicas that it is connected to, and itself
 */
public record ClusterView(
    String replicaId,
    List<String> voters,
    List<String> learners,
    List<ReachableReplica> reachable) {

  /**
   * Copies the lists.
   *
   * @throws NullPointerException if a component or an element is null
   */
  public ClusterView {
    requireNonNull(replicaId, "replicaId is null");
    voters = List.copyOf(voters);
    learners = List.copyOf(learners);
    reachable = List.copyOf(reachable);
  }

  /**
   * Returns whether a replica is reachable.
   *
   * @param otherId identifier of the replica
   * @return true for a connected replica and for this one
   */
  public boolean isReachable(String otherId) {
    return reachable.stream().anyMatch(replica -> replica.replicaId().equals(otherId));
  }
}
