package org.hickoryspar.node.transport;

import static java.util.Objects.requireNonNull;

import org.hickoryspar.protocol.Hello;

/**
 * Identity of a process, which it sends to its peers in a hello message.
 *
 * @param cluster name of the cluster
 * @param instanceId identifier of the instance
 * @param processIncarnation random number chosen when the process starts
 * @param replicaId identifier of the control replica of the process, empty for none
 * @param dataCentre data centre of the instance, empty if unknown
 */
public record PeerIdentity(
    String cluster,
    String instanceId,
    long processIncarnation,
    String replicaId,
    String dataCentre) {

  /** Version of the protocol. Connections from peers with another version are refused. */
  public static final int PROTOCOL_VERSION = 1;

  /**
   * Rejects missing components.
   *
   * @throws NullPointerException if a component is null
   */
  public PeerIdentity {
    requireNonNull(cluster, "cluster is null");
    requireNonNull(instanceId, "instanceId is null");
    requireNonNull(replicaId, "replicaId is null");
    requireNonNull(dataCentre, "dataCentre is null");
  }

  /**
   * Creates an identity without replica and data centre, for a cluster whose instances are listed
   * in its settings.
   *
   * @param cluster name of the cluster
   * @param instanceId identifier of the instance
   * @param processIncarnation random number chosen when the process starts
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
        .setAcceptsCompression(true)
        .build();
  }
}
