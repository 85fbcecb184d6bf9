package org.hickoryspar.node.entry;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.hickoryspar.node.observability.EventLogger;

/**
 * Accepts the connections of callers. Before it closes the listening socket, it accepts those that
 * are pending in the queue of the operating system, which would reset them.
 */
final class EntryConnector extends ServerConnector {

  /** A caller that reads nothing of its response for this long is disconnected. */
  private static final long IDLE_TIMEOUT_MILLIS = 30_000;

  /** Number of callers that may connect simultaneously before the first of them is accepted. */
  private static final int ACCEPT_QUEUE_LENGTH = 1_024;

  // Without acceptor threads the listening socket is non-blocking: pending connections can be
  // accepted until there are none.
  private static final int ACCEPTORS = 0;
  private static final int SELECTORS = 2;

  /**
   * Creates a connector that does not listen yet.
   *
   * @param server server that handles the requests
   * @param address address to listen on
   */
  EntryConnector(Server server, InetSocketAddress address) {
    super(server, ACCEPTORS, SELECTORS, newConnectionFactory());
    setHost(address.getAddress().getHostAddress());
    setPort(address.getPort());
    setAcceptQueueSize(ACCEPT_QUEUE_LENGTH);
    setIdleTimeout(IDLE_TIMEOUT_MILLIS);
    setShutdownIdleTimeout(IDLE_TIMEOUT_MILLIS);
  }

  private static HttpConnectionFactory newConnectionFactory() {
    HttpConfiguration configuration = new HttpConfiguration();
    configuration.setSendServerVersion(false);
    return new HttpConnectionFactory(configuration);
  }

  /**
   * Stops listening; connections that callers have opened before are served. Must be called
   * repeatedly until it returns true.
   *
   * @return whether new connections are refused
   */
  boolean refuseConnections() {
    if (!(getTransport() instanceof ServerSocketChannel socket) || !socket.isOpen()) {
      return true;
    }
    setAccepting(false);
    if (socket.isRegistered()) {
      // A selector still holds the socket; if it were closed now, it would keep listening until the
      // next selection.
      return false;
    }
    try {
      acceptPending(socket);
      socket.close();
    } catch (IOException e) {
      EventLogger.log(EntryEvent.CLOSE_FAILED, e);
    }
    var unused = shutdown();
    return true;
  }

  private void acceptPending(ServerSocketChannel socket) throws IOException {
    for (SocketChannel caller = socket.accept(); caller != null; caller = socket.accept()) {
      caller.configureBlocking(false);
      caller.setOption(StandardSocketOptions.TCP_NODELAY, true);
      getSelectorManager().accept(caller);
    }
  }
}
