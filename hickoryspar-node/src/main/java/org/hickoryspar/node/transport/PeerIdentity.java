package org.hickoryspar.node.transport;

import static java.util.Objects.requireNonNull;

import org.hickoryspar.protocol.Hello;

/**
 * Who a process is on connections to its peers.
 *
 * @param cluster name of the cluster
 * @param instanceId the instance
 * @param processIncarnation chosen at random when the process starts
 */
public record PeerIdentity(String cluster, String instanceId, long processIncarnation) {

  /** Version of the protocol; peers with another version are refused. */
  public static final int PROTOCOL_VERSION = 1;

  /** Checks the components. */
  public PeerIdentity {
    requireNonNull(cluster, "cluster is null");
    requireNonNull(instanceId, "instanceId is null");
  }

  Hello toHello() {
    return Hello.newBuilder()
        .setProtocolVersion(PROTOCOL_VERSION)
        .setCluster(cluster)
        .setInstanceId(instanceId)
        .setProcessIncarnation(processIncarnation)
        .build();
  }
}
