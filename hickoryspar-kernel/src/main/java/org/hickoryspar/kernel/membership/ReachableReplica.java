package org.hickoryspar.kernel.membership;

import static java.util.Objects.requireNonNull;

/**
 * A control replica that the leader is connected to, or the leader itself.
 *
 * @param replicaId the replica, in the form {@code instance/incarnation}
 * @param dataCentre where it runs
 */
public record ReachableReplica(String replicaId, String dataCentre) {

  /** Checks the components. */
  public ReachableReplica {
    requireNonNull(replicaId, "replicaId is null");
    requireNonNull(dataCentre, "dataCentre is null");
  }

  /**
   * Returns the instance that a replica runs on.
   *
   * @param replicaId a replica, in the form {@code instance/incarnation}
   * @return the part before the last slash
   */
  public static String instanceOf(String replicaId) {
    int slash = replicaId.lastIndexOf('/');
    return slash < 0 ? replicaId : replicaId.substring(0, slash);
  }
}
