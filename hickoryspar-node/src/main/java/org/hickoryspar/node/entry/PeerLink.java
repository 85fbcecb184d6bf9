package org.hickoryspar.node.entry;

import org.hickoryspar.protocol.Envelope;

/** One-way messages from an entry to the other entries. */
public interface PeerLink {

  /**
   * Sends a message to every other entry that is connected; never blocks.
   *
   * @param message an envelope without correlation id
   */
  void broadcast(Envelope message);

  /**
   * Sends a message to one entry; dropped when it is not connected.
   *
   * @param instanceId the instance of the entry
   * @param message an envelope without correlation id
   */
  void send(String instanceId, Envelope message);
}
