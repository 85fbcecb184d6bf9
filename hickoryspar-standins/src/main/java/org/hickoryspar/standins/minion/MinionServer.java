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
 * A stand-in minion: serves {@code POST /run/{service}}, counts its runs and has faults that can be
 * switched on.
 */
public final class MinionServer implements AutoCloseable {

  private final MinionOptions options;
  private final MinionHandler handler;
  private final Server server;
  private final ServerConnector connector;
  private final HttpClient client = new HttpClient();
  private Announcer announcer;

  /**
   * Creates a minion that is not started.
   *
   * @param options how it runs
   * @param onCrash called when the fault "dies half-way" strikes; ends the process
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
   * Starts to serve and to announce.
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
      throw new IOException("minion cannot start", e);
    }
    announcer.close();
    announcer = new Announcer(options, port(), client);
    announcer.start();
    EventLogger.log(MinionEvent.STARTED, options.id(), options.service(), port());
  }

  /**
   * Returns the port on which the minion listens.
   *
   * @return the port
   */
  public int port() {
    return connector.getLocalPort();
  }

  /**
   * Switches faults on or off.
   *
   * @param faults the faults from now on
   */
  public void setFaults(Faults faults) {
    handler.setFaults(requireNonNull(faults, "faults is null"));
  }

  /**
   * Returns how often each idempotency key was run.
   *
   * @return runs by key
   */
  public Map<String, Integer> runCounts() {
    return handler.runCounts();
  }

  /**
   * Announces that the minion is leaving and announces nothing more.
   *
   * @return the status of the entry's answer
   */
  public CompletableFuture<Integer> leave() {
    return announcer.leave();
  }

  /** Stops at once, without a leave. */
  @Override
  public void close() {
    announcer.close();
    // The client started the shared thread pool and stops it, so it goes last.
    LifeCycle.stop(server);
    LifeCycle.stop(client);
  }
}
