package org.hickoryspar.standins.scenario;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP link between two processes that can go silent in either direction. */
final class LinkProxy implements AutoCloseable {

  private static final int BUFFER_BYTES = 16 * 1024;

  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile boolean dropForward;
  private volatile boolean dropBackward;

  LinkProxy(InetSocketAddress target) throws IOException {
    this.target = target;
    this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    startThread(this::accept);
  }

  int port() {
    return listener.getLocalPort();
  }

  /** Drops bytes silently; connections stay open, as behind a middle box that lost its state. */
  void drop(boolean forward, boolean backward) {
    dropForward |= forward;
    dropBackward |= backward;
  }

  /** Forwards again; connections that have lost bytes are closed. */
  void heal() {
    boolean damaged = dropForward || dropBackward;
    dropForward = false;
    dropBackward = false;
    if (damaged) {
      open.forEach(LinkProxy::closeQuietly);
    }
  }

  private void accept() {
    while (!listener.isClosed()) {
      try {
        Socket from = listener.accept();
        Socket to = new Socket();
        open.add(from);
        open.add(to);
        try {
          to.connect(target);
        } catch (IOException e) {
          closeQuietly(from);
          continue;
        }
        startThread(() -> copy(from, to, true));
        startThread(() -> copy(to, from, false));
      } catch (IOException e) {
        // The listener was closed.
      }
    }
  }

  private void copy(Socket from, Socket to, boolean forward) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        if (!(forward ? dropForward : dropBackward)) {
          out.write(buffer, 0, count);
        }
      }
    } catch (IOException e) {
      // One end was closed.
    } finally {
      closeQuietly(from);
      closeQuietly(to);
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // Closed already.
    }
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, "link-proxy");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    open.forEach(LinkProxy::closeQuietly);
  }
}
