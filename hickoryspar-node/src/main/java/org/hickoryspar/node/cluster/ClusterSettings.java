package org.hickoryspar.node.cluster;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * Settings of a process in a cluster without a static list of instances.
 *
 * @param cluster name of the cluster
 * @param instanceName name of the instance
 * @param dataCentre data centre of the instance
 * @param peerAddress address for connections from peers, {@code host:port}; also the identifier of
 *     the instance
 * @param seeds peer addresses of some control daemons
 * @param firstStart whether the whole cluster starts for the first time, with empty disks
 * @param toleratedFailures number of instances with a disk that may fail at the same time
 */
public record ClusterSettings(
    String cluster,
    String instanceName,
    String dataCentre,
    String peerAddress,
    List<String> seeds,
    boolean firstStart,
    int toleratedFailures) {

  /**
   * Copies the seeds.
   *
   * @throws NullPointerException if a component or a seed is null
   */
  public ClusterSettings {
    requireNonNull(cluster, "cluster is null");
    requireNonNull(instanceName, "instanceName is null");
    requireNonNull(dataCentre, "dataCentre is null");
    requireNonNull(peerAddress, "peerAddress is null");
    seeds = List.copyOf(seeds);
  }
}
