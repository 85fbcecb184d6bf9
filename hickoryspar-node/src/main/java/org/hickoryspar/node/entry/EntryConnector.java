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
 * Listens to the callers of an entry. Before it refuses new connections it accepts those that wait
 * in the queue of the operating system, which resets them when the listening socket is closed.
 */
final class EntryConnector extends ServerConnector {

  /** A caller that takes none of its answer for this long is disconnected. */
  private static final long IDLE_TIMEOUT_MILLIS = 30_000;

  /** Callers that may connect at the same moment before the first of them is accepted. */
  private static final int ACCEPT_QUEUE_LENGTH = 1_024;

  // Without acceptor threads the listening socket does not block, so that it can be emptied.
  private static final int ACCEPTORS = 0;
  private static final int SELECTORS = 2;

  /**
   * Creates a connector that does not listen yet.
   *
   * @param server serves the requests
   * @param address where to listen
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
   * Refuses new connections from now on; those that callers have opened until then are served. To
   * be called again until it returns true.
   *
   * @return whether new connections are refused
   */
  boolean refuseConnections() {
    if (!(getTransport() instanceof ServerSocketChannel socket) || !socket.isOpen()) {
      return true;
    }
    setAccepting(false);
    if (socket.isRegistered()) {
      // A selector still holds the socket; closed now, it would listen on until the next selection.
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
