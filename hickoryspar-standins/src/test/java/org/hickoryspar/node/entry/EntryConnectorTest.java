package org.hickoryspar.node.entry;

import static org.awaitility.Awaitility.await;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import com.google.common.io.Closer;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.SelectableChannel;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class EntryConnectorTest {

  private static final byte[] REQUEST =
      "GET / HTTP/1.1\r\nHost: entry\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private static final String STATUS_LINE = "HTTP/1.1 204 No Content";

  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  private final Closer closer = Closer.create();
  private Server server;
  private EntryConnector connector;

  @BeforeMethod
  void start() throws Exception {
    server = new Server();
    connector =
        new EntryConnector(server, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    server.addConnector(connector);
    server.setHandler(new NoContentHandler());
    server.start();
  }

  @AfterMethod(alwaysRun = true)
  void stop() throws Exception {
    closer.close();
    server.stop();
  }

  /** Guards against a graceful stop that resets connections which are not yet accepted. */
  @Test
  public void shouldServePendingConnectionsWhenItStopsListening() throws Exception {
    stopAccepting();
    int port = connector.getLocalPort();
    List<Socket> callers = connect(8);

    await().atMost(TIMEOUT).until(connector::refuseConnections);

    assertResponses(callers);
    assertThrows(
        ConnectException.class, () -> new Socket(InetAddress.getLoopbackAddress(), port).close());
  }

  /** Guards against a burst of connections of which some are dropped before they are accepted. */
  @Test
  public void shouldServeABurstWhenAcceptingIsDelayed() throws Exception {
    stopAccepting();
    List<Socket> callers = connect(400);

    connector.setAccepting(true);

    assertResponses(callers);
  }

  private void stopAccepting() {
    connector.setAccepting(false);
    await()
        .atMost(TIMEOUT)
        .until(
            () ->
                connector.getTransport() instanceof SelectableChannel socket
                    && !socket.isRegistered());
  }

  private List<Socket> connect(int count) throws IOException {
    InetSocketAddress address =
        new InetSocketAddress(InetAddress.getLoopbackAddress(), connector.getLocalPort());
    List<Socket> callers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Socket caller = closer.register(new Socket());
      caller.setSoTimeout((int) TIMEOUT.toMillis());
      caller.connect(address, (int) TIMEOUT.toMillis());
      caller.getOutputStream().write(REQUEST);
      callers.add(caller);
    }
    return callers;
  }

  private static void assertResponses(List<Socket> callers) throws IOException {
    for (Socket caller : callers) {
      byte[] statusLine = caller.getInputStream().readNBytes(STATUS_LINE.length());
      assertEquals(new String(statusLine, StandardCharsets.US_ASCII), STATUS_LINE);
    }
  }

  private static final class NoContentHandler extends Handler.Abstract {

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
      response.setStatus(204);
      callback.succeeded();
      return true;
    }
  }
}
