package org.hickoryspar.node.entry;

import org.hickoryspar.protocol.Envelope;

/** Sends one-way messages from an entry to the other entries. */
public interface PeerLink {

  /**
   * Sends a message to every other entry that is connected, without blocking.
   *
   * @param message envelope without a correlation id
   */
  void broadcast(Envelope message);

  /**
   * Sends a message to one entry; drops it if the entry is not connected.
   *
   * @param instanceId instance of the entry
   * @param message envelope without a correlation id
   */
  void send(String instanceId, Envelope message);
}
