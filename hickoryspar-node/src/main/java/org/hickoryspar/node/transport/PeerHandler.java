package org.hickoryspar.node.transport;

import java.util.function.Consumer;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.Hello;

/** Handles messages from peers, on the thread of the connection; must not block. */
@FunctionalInterface
public interface PeerHandler {

  /**
   * Handles a message.
   *
   * @param from the peer that sent it
   * @param message the message
   * @param reply takes the answer to a request, at any time and on any thread; calls after the
   *     first, or for one-way messages, have no effect
   */
  void handle(Hello from, Envelope message, Consumer<Envelope.Builder> reply);
}
