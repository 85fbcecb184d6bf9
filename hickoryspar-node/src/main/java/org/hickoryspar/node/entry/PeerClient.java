package org.hickoryspar.node.entry;

import static java.util.Objects.requireNonNull;

import java.util.List;
import org.hickoryspar.node.transport.PeerConnection;
import org.hickoryspar.protocol.Envelope;

/** One-way messages over one connection per other entry. */
public final class PeerClient implements PeerLink {

  private final List<PeerConnection> connections;

  /**
   * Creates a network; the connections are dialled and closed by the caller.
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
