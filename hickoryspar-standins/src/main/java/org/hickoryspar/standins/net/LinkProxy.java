package org.hickoryspar.standins.net;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * TCP proxy in front of a target that injects network faults: it drops data in either direction,
 * delays data and closes connections.
 */
public final class LinkProxy implements AutoCloseable {

  private static final int BUFFER_BYTES = 16 * 1024;
  private static final int BACKLOG = 200;

  private final ServerSocket listener;
  private final InetSocketAddress target;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private volatile boolean dropForward;
  private volatile boolean dropBackward;
  private volatile long delayMillis;

  /**
   * Creates a proxy that listens on a free port of the loopback address.
   *
   * @param target address to which connections are forwarded
   * @throws IOException if no port is free
   */
  public LinkProxy(InetSocketAddress target) throws IOException {
    this.target = requireNonNull(target, "target is null");
    this.listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
    startThread(this::acceptConnections);
  }

  /**
   * Returns the port on which the proxy listens.
   *
   * @return the bound port
   */
  public int port() {
    return listener.getLocalPort();
  }

  /**
   * Drops data silently while connections stay open, like a middlebox that has lost its state. The
   * directions of several calls add up until {@link #heal()}.
   *
   * @param forward whether to drop data sent to the target
   * @param backward whether to drop data received from the target
   */
  public void drop(boolean forward, boolean backward) {
    dropForward |= forward;
    dropBackward |= backward;
  }

  /**
   * Delays each chunk of data in both directions.
   *
   * @param millis delay of a chunk, 0 for none
   */
  public void delay(long millis) {
    delayMillis = millis;
  }

  /** Closes all connections; new connections are still accepted. */
  public void reset() {
    sockets.forEach(LinkProxy::closeQuietly);
  }

  /**
   * Ends all faults. If data was being dropped, closes all connections, since their streams have
   * gaps.
   */
  public void heal() {
    boolean wasDropping = dropForward || dropBackward;
    dropForward = false;
    dropBackward = false;
    delayMillis = 0;
    if (wasDropping) {
      reset();
    }
  }

  private void acceptConnections() {
    while (!listener.isClosed()) {
      try {
        Socket from = listener.accept();
        Socket to = new Socket();
        sockets.add(from);
        sockets.add(to);
        startThread(() -> connect(from, to));
      } catch (IOException e) {
        // The listener was closed.
      }
    }
  }

  private void connect(Socket from, Socket to) {
    try {
      to.connect(target);
      to.setTcpNoDelay(true);
      from.setTcpNoDelay(true);
    } catch (IOException e) {
      closeBoth(from, to);
      return;
    }
    startThread(() -> copy(to, from, false));
    copy(from, to, true);
  }

  private void copy(Socket from, Socket to, boolean forward) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int bytesRead = in.read(buffer); bytesRead >= 0; bytesRead = in.read(buffer)) {
        TimeUnit.MILLISECONDS.sleep(delayMillis);
        if (!(forward ? dropForward : dropBackward)) {
          out.write(buffer, 0, bytesRead);
        }
      }
    } catch (IOException e) {
      // One of the sockets was closed.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      closeBoth(from, to);
    }
  }

  private void closeBoth(Socket from, Socket to) {
    closeQuietly(from);
    closeQuietly(to);
    sockets.remove(from);
    sockets.remove(to);
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // The socket is closed already.
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
    reset();
  }
}
