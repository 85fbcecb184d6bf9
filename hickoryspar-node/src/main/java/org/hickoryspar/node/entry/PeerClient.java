package org.hickoryspar.node.entry;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hickoryspar.node.transport.PeerConnection;
import org.hickoryspar.protocol.Envelope;

/** Sends one-way messages over one connection per other entry. */
public final class PeerClient implements PeerLink {

  private final List<PeerConnection> connections;

  /**
   * Creates a client; the caller opens and closes the connections.
   *
   * @param connections one connection per other entry
   */
  public PeerClient(List<PeerConnection> connections) {
    this.connections = List.copyOf(connections);
  }

  @Override
  public void broadcast(Envelope message) {
    requireNonNull(message, "message is null");
    for (PeerConnection connection : connections) {
      connection.send(message);
    }
  }

  @Override
  public void send(String instanceId, Envelope message) {
    requireNonNull(instanceId, "instanceId is null");
    requireNonNull(message, "message is null");
    for (PeerConnection connection : connections) {
      if (connection.peerId().equals(instanceId)) {
        connection.send(message);
      }
    }
  }
}
