package org.hickoryspar.node.cluster;

import static java.util.Objects.requireNonNull;

import java.net.InetSocketAddress;

/**
 * Identifiers of instances that are not listed in settings: the address for peers, {@code
 * host:port}, so that the recorded voters can always be found.
 */
public final class InstanceIds {

  private InstanceIds() {}

  /**
   * Returns the address that an instance or a replica is reached at.
   *
   * @param id an instance id, or a replica id that begins with one
   * @return host and port
   */
  public static String addressOf(String id) {
    int slash = requireNonNull(id, "id is null").indexOf('/');
    return slash < 0 ? id : id.substring(0, slash);
  }

  /**
   * Parses an address.
   *
   * @param address host and port
   * @return the socket address
   * @throws IllegalArgumentException if there is no port
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
