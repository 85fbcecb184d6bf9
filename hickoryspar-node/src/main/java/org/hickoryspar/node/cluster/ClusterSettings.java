package org.hickoryspar.node.cluster;

import static java.util.Objects.requireNonNull;

import java.util.List;

/**
 * Where a process of a cluster without listed instances runs and how it finds the others.
 *
 * @param cluster name of the cluster
 * @param instanceName name of the instance
 * @param dataCentre where the instance is
 * @param peerAddress address for connections of peers, host and port; it identifies the instance
 * @param seeds addresses for peers of some control daemons
 * @param firstStart whether the whole cluster starts for the first time, with empty disks
 * @param toleratedFailures how many instances with a disk may be lost at the same time
 */
public record ClusterSettings(
    String cluster,
    String instanceName,
    String dataCentre,
    String peerAddress,
    List<String> seeds,
    boolean firstStart,
    int toleratedFailures) {

  /** Checks and copies the components. */
  public ClusterSettings {
    requireNonNull(cluster, "cluster is null");
    requireNonNull(instanceName, "instanceName is null");
    requireNonNull(dataCentre, "dataCentre is null");
    requireNonNull(peerAddress, "peerAddress is null");
    seeds = List.copyOf(seeds);
  }
}
