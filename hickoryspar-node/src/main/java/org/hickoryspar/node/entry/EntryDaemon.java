package org.hickoryspar.node.entry;

import static java.util.Objects.requireNonNull;

import com.google.common.io.Closer;
import io.opentelemetry.api.trace.Tracer;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.hickoryspar.kernel.requests.EndpointTable;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.node.settings.Settings;
import org.hickoryspar.protocol.Envelope;

/** The entry daemon: serves callers, minions and operators, and forwards requests to minions. */
public final class EntryDaemon implements AutoCloseable {

  /** Entries and minions of the planned size (1,700 workers) with room for tombstones. */
  private static final int MAX_ENDPOINTS = 16_384;

  private final Settings settings;
  private final Settings.EntrySettings entrySettings;
  private final ScheduledExecutorService timer;
  private final QueuedThreadPool threads = new QueuedThreadPool(32, 4);
  private final Server server;
  private final ServerConnector connector;
  private final HttpClient client;
  private final EndpointCalls endpoints;
  private final EntryHandler handler;
  private final DrainState drainState = new DrainState();
  private final AtomicBoolean closed = new AtomicBoolean();

  /**
   * Creates a daemon that is not started.
   *
   * @param settings settings of this instance, with an {@code entry} section
   * @param control the link to the control leader
   * @param peers the link to the other entries
   * @param metrics the registry that {@code /metrics} shows
   * @param tracer makes the spans
   * @param wallClock the time of day, for the age of idempotency keys
   * @param monotonicMillis a clock that never goes back, for deadlines and leases
   */
  public EntryDaemon(
      Settings settings,
      ControlLink control,
      PeerLink peers,
      PrometheusRegistry metrics,
      Tracer tracer,
      Clock wallClock,
      LongSupplier monotonicMillis) {
    this.settings = requireNonNull(settings, "settings is null");
    this.entrySettings = requireNonNull(settings.entry(), "settings.entry is null");
    requireNonNull(control, "control is null");
    requireNonNull(peers, "peers is null");
    requireNonNull(metrics, "metrics is null");
    requireNonNull(tracer, "tracer is null");
    requireNonNull(wallClock, "wallClock is null");
    requireNonNull(monotonicMillis, "monotonicMillis is null");
    threads.setName("entry-" + settings.instanceId());
    timer =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "entry-timer-" + settings.instanceId());
              thread.setDaemon(true);
              return thread;
            });
    client = newClient();
    EndpointTable table = new EndpointTable(MAX_ENDPOINTS);
    endpoints = new EndpointCalls(settings, table, peers, monotonicMillis, () -> {});
    RequestForwarder forwarder = new RequestForwarder(table, client, monotonicMillis);
    handler =
        new EntryHandler(
            settings, forwarder, endpoints, new ControlCalls(control), drainState, metrics);
    server = new Server(threads);
    connector = newConnector();
  }

  /**
   * Starts to serve.
   *
   * @throws IOException if the address cannot be bound
   */
  public void start() throws IOException {
    try {
      server.addConnector(connector);
      server.setHandler(handler);
      client.start();
      server.start();
    } catch (IOException e) {
      throw e;
    } catch (Exception e) {
      throw new IOException("entry cannot start", e);
    }
    var unused =
        timer.scheduleWithFixedDelay(() -> guarded(endpoints::tick), 1, 1, TimeUnit.SECONDS);
    EventLogger.log(EntryEvent.STARTED, settings.instanceId(), port());
  }

  /**
   * Returns the port on which callers are served, useful when the settings name port 0.
   *
   * @return the port
   */
  public int port() {
    return connector.getLocalPort();
  }

  /**
   * Takes a one-way message from another entry; safe for use by several threads.
   *
   * @param fromInstance the instance that sent it
   * @param message an envelope with endpoints or a digest of them
   */
  public void receive(String fromInstance, Envelope message) {
    requireNonNull(fromInstance, "fromInstance is null");
    requireNonNull(message, "message is null");
    endpoints.receive(fromInstance, message);
  }

  /**
   * Withdraws readiness and finishes accepted requests.
   *
   * @return completes when no request is left; {@link #close} may then be called
   */
  public CompletableFuture<Void> drain() {
    EventLogger.log(EntryEvent.DRAINING, settings.instanceId());
    drainState.begin();
    return drainState.whenIdle();
  }

  /** Stops at once; {@link #drain} first for a planned stop. */
  @Override
  public void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    try (Closer closer = Closer.create()) {
      closer.register(timer::shutdownNow);
      closer.register(() -> LifeCycle.stop(client));
      closer.register(() -> LifeCycle.stop(server));
    } catch (IOException | RuntimeException e) {
      EventLogger.log(EntryEvent.CLOSE_FAILED, e);
    }
  }

  private HttpClient newClient() {
    HttpClient made = new HttpClient();
    made.setExecutor(threads);
    made.setFollowRedirects(false);
    made.setUserAgentField(null);
    return made;
  }

  private ServerConnector newConnector() {
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    ServerConnector made = new ServerConnector(server, 1, 2, new HttpConnectionFactory(http));
    InetSocketAddress address = Settings.socketAddress(entrySettings.httpAddress());
    made.setHost(address.getAddress().getHostAddress());
    made.setPort(address.getPort());
    return made;
  }

  private static void guarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      EventLogger.log(EntryEvent.TASK_FAILED, e);
    }
  }
}
