package org.hickoryspar.node.cluster;

import static java.util.Objects.requireNonNull;

import java.net.InetSocketAddress;

/**
 * Identifiers of instances in a cluster without a static list of instances. The identifier is the
 * peer address of the instance, {@code host:port}, so that the recorded voters can always be
 * reached.
 */
public final class InstanceIds {

  private InstanceIds() {}

  /**
   * Returns the peer address of an instance or a replica.
   *
   * @param id identifier of an instance, or of a replica, which begins with that of its instance
   * @return host and port
   */
  public static String addressOf(String id) {
    int slash = requireNonNull(id, "id is null").indexOf('/');
    return slash < 0 ? id : id.substring(0, slash);
  }

  /**
   * Parses a peer address.
   *
   * @param address host and port
   * @return the socket address
   * @throws IllegalArgumentException if the host or a valid port is missing
   */
  public static InetSocketAddress socketAddress(String address) {
    int colon = requireNonNull(address, "address is null").lastIndexOf(':');
    if (colon < 1) {
      throw new IllegalArgumentException("expected host:port, found \"" + address + '"');
    }
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }
}
