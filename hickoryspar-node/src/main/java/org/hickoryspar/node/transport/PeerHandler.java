package org.hickoryspar.node.transport;

import java.util.function.Consumer;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.Hello;

/** Handles messages from peers on the event loop thread of the connection; must not block. */
@FunctionalInterface
public interface PeerHandler {

  /**
   * Handles a message.
   *
   * @param from hello of the peer that sent the message
   * @param message the message
   * @param reply sends the response to a request, at any time and from any thread; calls after the
   *     first one and calls for one-way messages have no effect
   */
  void handle(Hello from, Envelope message, Consumer<Envelope.Builder> reply);
}
