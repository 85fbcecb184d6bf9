package org.hickoryspar.node.control;

import org.hickoryspar.protocol.ReplicationMessage;

/** Sends messages between replicas; may lose, delay or reorder them. */
public interface ReplicationTransport {

  /**
   * Sends a message to the replica that it names; never blocks.
   *
   * @param message the message
   */
  void send(ReplicationMessage message);
}
