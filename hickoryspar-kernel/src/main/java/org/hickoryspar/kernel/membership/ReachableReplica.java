package org.hickoryspar.kernel.membership;

import static java.util.Objects.requireNonNull;

/**
 * A control replica that the leader is connected to, or the leader itself.
 *
 * @param replicaId identifier of the replica, in the form {@code instance/incarnation}
 * @param dataCentre data centre of its instance
 */
public record ReachableReplica(String replicaId, String dataCentre) {

  /**
   * Rejects missing components.
   *
   * @throws NullPointerException if a component is null
   */
  public ReachableReplica {
    requireNonNull(replicaId, "replicaId is null");
    requireNonNull(dataCentre, "dataCentre is null");
  }

  /**
   * Returns the instance that a replica runs on.
   *
   * @param replicaId identifier of a replica, in the form {@code instance/incarnation}
   * @return the part before the last slash, or the whole identifier without a slash
   */
  public static String instanceOf(String replicaId) {
    int slash = replicaId.lastIndexOf('/');
    return slash < 0 ? replicaId : replicaId.substring(0, slash);
  }
}
