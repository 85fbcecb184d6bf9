package org.hickoryspar.standins.minion;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.hickoryspar.node.observability.EventLogger;

/**
 * Serves a stub minion over HTTP and announces it to the entries.
 *
 * <p>{@code POST /run/{service}} counts a run and echoes the request body, {@code GET /runs}
 * returns the run counts and {@code POST /faults} replaces the injected {@link Faults}.
 */
public final class MinionServer implements AutoCloseable {

  private final MinionOptions options;
  private final MinionHandler handler;
  private final Server server;
  private final ServerConnector connector;
  private final HttpClient client = new HttpClient();
  private Announcer announcer;

  /**
   * Creates a server that does not listen yet.
   *
   * @param options identity, address and announcements of the minion
   * @param onCrash called when the fault {@code dieHalfway} takes effect; expected to terminate the
   *     process
   */
  public MinionServer(MinionOptions options, Runnable onCrash) {
    this.options = requireNonNull(options, "options is null");
    requireNonNull(onCrash, "onCrash is null");
    QueuedThreadPool threadPool = new QueuedThreadPool(16, 4);
    threadPool.setName("minion-" + options.id());
    server = new Server(threadPool);
    HttpConfiguration httpConfiguration = new HttpConfiguration();
    httpConfiguration.setSendServerVersion(false);
    connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(httpConfiguration));
    connector.setHost(options.host());
    connector.setPort(options.port());
    connector.setIdleTimeout(600_000);
    server.addConnector(connector);
    handler = new MinionHandler(options.id(), connector, onCrash);
    server.setHandler(handler);
    client.setExecutor(threadPool);
    announcer = new Announcer(options, 0, client);
  }

  /**
   * Starts to listen and to announce the minion.
   *
   * @throws IOException if the port cannot be bound
   */
  public void start() throws IOException {
    try {
      client.start();
      server.start();
    } catch (IOException e) {
      throw e;
    } catch (Exception e) {
      throw new IOException("cannot start the minion", e);
    }
    announcer.close();
    announcer = new Announcer(options, port(), client);
    announcer.start();
    EventLogger.log(MinionEvent.STARTED, options.id(), options.service(), port());
  }

  /**
   * Returns the port on which the minion listens.
   *
   * @return the bound port
   */
  public int port() {
    return connector.getLocalPort();
  }

  /**
   * Replaces all faults.
   *
   * @param faults the faults to inject into requests that arrive from now on
   */
  public void setFaults(Faults faults) {
    handler.setFaults(requireNonNull(faults, "faults is null"));
  }

  /**
   * Returns how often each idempotency key was run.
   *
   * @return an immutable copy of the number of runs by key; the empty key stands for all requests
   *     without one
   */
  public Map<String, Integer> runCounts() {
    return handler.runCounts();
  }

  /**
   * Stops the announcements and announces that the minion leaves.
   *
   * @return a future of the HTTP status of the entry's response; 200 if there are no entries
   */
  public CompletableFuture<Integer> leave() {
    return announcer.leave();
  }

  /** Stops the server at once, without announcing that the minion leaves. */
  @Override
  public void close() {
    announcer.close();
    // The client started the shared thread pool and also stops it, so it is stopped last.
    LifeCycle.stop(server);
    LifeCycle.stop(client);
  }
}
