package org.hickoryspar.node.control;

import org.hickoryspar.protocol.ReplicationMessage;

/** Sends messages to other replicas; messages may be lost, delayed or reordered. */
public interface ReplicationTransport {

  /**
   * Sends a message to the replica named in it; never blocks.
   *
   * @param message the message
   */
  void send(ReplicationMessage message);
}
