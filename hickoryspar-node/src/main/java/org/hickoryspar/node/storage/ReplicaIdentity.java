package org.hickoryspar.node.storage;

import static java.util.Objects.requireNonNull;

/**
 * Whose data a folder holds.
 *
 * @param cluster name of the cluster
 * @param instanceId the instance
 * @param replicaId the replica; a replica that lost its disk gets a new one
 */
public record ReplicaIdentity(String cluster, String instanceId, String replicaId) {

  /**
   * Checks the components.
   *
   * @throws NullPointerException if a component is null
   */
  public ReplicaIdentity {
    requireNonNull(cluster, "cluster is null");
    requireNonNull(instanceId, "instanceId is null");
    requireNonNull(replicaId, "replicaId is null");
  }
}
