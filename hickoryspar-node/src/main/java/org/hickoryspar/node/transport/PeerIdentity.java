package org.hickoryspar.node.transport;

import static java.util.Objects.requireNonNull;

import org.hickoryspar.protocol.Hello;

/**
 * Who a process is on connections to its peers.
 *
 * @param cluster name of the cluster
 * @param instanceId the instance
 * @param processIncarnation chosen at random when the process starts
 * @param replicaId the control replica of the process, empty for none
 * @param dataCentre the data centre, empty if not told
 */
public record PeerIdentity(
    String cluster,
    String instanceId,
    long processIncarnation,
    String replicaId,
    String dataCentre) {

  /** Version of the protocol; peers with another version are refused. */
  public static final int PROTOCOL_VERSION = 1;

  /** Checks the components. */
  public PeerIdentity {
    requireNonNull(cluster, "cluster is null");
    requireNonNull(instanceId, "instanceId is null");
    requireNonNull(replicaId, "replicaId is null");
    requireNonNull(dataCentre, "dataCentre is null");
  }

  /**
   * Creates the identity of a process whose instances are listed in its settings.
   *
   * @param cluster name of the cluster
   * @param instanceId the instance
   * @param processIncarnation chosen at random when the process starts
   */
  public PeerIdentity(String cluster, String instanceId, long processIncarnation) {
    this(cluster, instanceId, processIncarnation, "", "");
  }

  Hello toHello() {
    return Hello.newBuilder()
        .setProtocolVersion(PROTOCOL_VERSION)
        .setCluster(cluster)
        .setInstanceId(instanceId)
        .setProcessIncarnation(processIncarnation)
        .setReplicaId(replicaId)
        .setDataCentre(dataCentre)
        .build();
  }
}
