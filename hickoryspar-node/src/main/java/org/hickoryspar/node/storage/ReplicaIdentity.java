package org.hickoryspar.node.storage;

import static java.util.Objects.requireNonNull;

/**
 * Identity of the replica whose data a folder contains.
 *
 * @param cluster name of the cluster
 * @param instanceId identifier of the instance
 * @param replicaId identifier of the replica; an instance whose disk was lost gets a new one
 */
public record ReplicaIdentity(String cluster, String instanceId, String replicaId) {

  /**
   * Rejects missing components.
   *
   * @throws NullPointerException if a component is null
   */
  public ReplicaIdentity {
    requireNonNull(cluster, "cluster is null");
    requireNonNull(instanceId, "instanceId is null");
    requireNonNull(replicaId, "replicaId is null");
  }
}
