package org.hickoryspar.node.entry;

import static java.util.Objects.requireNonNull;

import com.google.common.io.Closer;
import io.opentelemetry.api.trace.Tracer;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.time.Clock;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.component.LifeCycle;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.hickoryspar.kernel.requests.EndpointTable;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.node.settings.Settings;
import org.hickoryspar.protocol.Envelope;

/**
 * The entry daemon, which forwards the requests of callers to minions, registers minions and
 * forwards job and operator calls to control.
 */
public final class EntryDaemon implements AutoCloseable {

  /** Capacity for the minions of the planned size (1,700 workers) and for tombstones. */
  private static final int MAX_ENDPOINTS = 16_384;

  /** Bounds the delay with which an expired deadline or lease is detected. */
  private static final long DISPATCH_INTERVAL_MILLIS = 50;

  private static final long SLOT_LEASE_INTERVAL_MILLIS = 100;

  private static final long CONNECT_TIMEOUT_MILLIS = 2_000;

  private final Settings settings;
  private final Settings.EntrySettings entrySettings;
  private final ScheduledThreadPoolExecutor timer;
  private final QueuedThreadPool threads = new QueuedThreadPool(32, 4);
  private final Server server;
  private final EntryConnector connector;
  private final HttpClient httpClient;
  private final LongSupplier monotonicMillis;
  private final EndpointTable endpointTable;
  private final EndpointRegistrar endpointRegistrar;
  private final EntryHandler handler;
  private final DrainTracker drainTracker;
  private final RequestForwarder requestForwarder;
  private final ConfigLease configLease;
  private final SlotLeases slotLeases;
  private final ClaimBatcher claimBatcher;
  private final AtomicBoolean closed = new AtomicBoolean();

  /**
   * Creates a daemon that is not started.
   *
   * @param settings settings of this instance, with an {@code entry} section
   * @param processIncarnation incarnation of this process, as announced by the transport; claims
   *     carry it, so that control can detect the claims of a process that has ended
   * @param control calls to the control leader
   * @param peers messages to the other entries
   * @param registry registry of the metrics that {@code /metrics} returns
   * @param tracer tracer that creates the spans
   * @param wallClock wall clock for the age of idempotency keys
   * @param monotonicMillis monotonic clock in milliseconds for deadlines and leases
   */
  public EntryDaemon(
      Settings settings,
      long processIncarnation,
      ControlLink control,
      PeerLink peers,
      PrometheusRegistry registry,
      Tracer tracer,
      Clock wallClock,
      LongSupplier monotonicMillis) {
    this.settings = requireNonNull(settings, "settings is null");
    this.entrySettings = requireNonNull(settings.entry(), "settings.entry is null");
    requireNonNull(control, "control is null");
    requireNonNull(peers, "peers is null");
    requireNonNull(registry, "registry is null");
    requireNonNull(tracer, "tracer is null");
    requireNonNull(wallClock, "wallClock is null");
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
    threads.setName("entry-" + settings.instanceId());
    timer =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, "entry-timer-" + settings.instanceId());
              thread.setDaemon(true);
              return thread;
            });
    timer.setRemoveOnCancelPolicy(true);
    httpClient = newHttpClient();
    drainTracker = new DrainTracker(monotonicMillis);
    endpointTable = new EndpointTable(MAX_ENDPOINTS);
    EntryMetrics entryMetrics = new EntryMetrics(registry);
    endpointRegistrar =
        new EndpointRegistrar(settings, endpointTable, peers, monotonicMillis, this::dispatchAll);
    claimBatcher = new ClaimBatcher(settings.instanceId(), processIncarnation, control, timer);
    configLease =
        new ConfigLease(settings.instanceId(), control, timer, monotonicMillis, this::dispatchAll);
    slotLeases =
        new SlotLeases(
            settings.instanceId(), control, monotonicMillis, this::slotDemands, this::dispatchAll);
    requestForwarder =
        new RequestForwarder(
            new ServiceDispatcher.SharedDependencies(
                settings,
                endpointTable,
                httpClient,
                configLease,
                slotLeases,
                entryMetrics,
                monotonicMillis),
            new RequestParser(wallClock, monotonicMillis),
            claimBatcher,
            new CallCompleter(claimBatcher, entryMetrics, monotonicMillis, timer),
            new RequestTracer(tracer),
            timer,
            entrySettings.queueLength());
    StartupGate startupGate =
        new StartupGate(
            configLease::isUnexpired, () -> endpointTable.version() > 0, monotonicMillis);
    handler =
        new EntryHandler(
            settings,
            requestForwarder,
            endpointRegistrar,
            new ControlForwarder(control),
            drainTracker,
            startupGate,
            registry);
    server = new Server(threads);
    connector = new EntryConnector(server, Settings.socketAddress(entrySettings.httpAddress()));
  }

  /**
   * Starts to listen, to watch the configuration and to run the periodic tasks.
   *
   * @throws IOException if the address cannot be bound
   */
  public void start() throws IOException {
    try {
      server.addConnector(connector);
      server.setHandler(handler);
      httpClient.start();
      // Responses are relayed unchanged: the client must neither decode gzip nor handle 401.
      httpClient.getProtocolHandlers().clear();
      httpClient.getContentDecoderFactories().clear();
      server.start();
    } catch (IOException e) {
      throw e;
    } catch (Exception e) {
      throw new IOException("entry cannot start", e);
    }
    configLease.watch();
    schedulePeriodically(DISPATCH_INTERVAL_MILLIS, () -> requestForwarder.tick(false));
    schedulePeriodically(SLOT_LEASE_INTERVAL_MILLIS, slotLeases::tick);
    schedulePeriodically(1_000, () -> requestForwarder.tick(true));
    schedulePeriodically(1_000, endpointRegistrar::tick);
    schedulePeriodically(1_000, configLease::reportLeaseChange);
    EventLogger.log(EntryEvent.STARTED, settings.instanceId(), port());
  }

  /**
   * Returns the port on which callers are served, which the settings leave open with port 0.
   *
   * @return the port
   */
  public int port() {
    return connector.getLocalPort();
  }

  /** Returns whether a configuration is in force and a service has this many live endpoints. */
  boolean isServing(String service, int minions) {
    return configLease.current().isPresent()
        && endpointTable.live(service, monotonicMillis.getAsLong()).size() >= minions;
  }

  /**
   * Handles a one-way message from another entry. Thread-safe.
   *
   * @param fromInstance instance that sent the message
   * @param message envelope with endpoints or with a digest of endpoints
   */
  public void receive(String fromInstance, Envelope message) {
    requireNonNull(fromInstance, "fromInstance is null");
    requireNonNull(message, "message is null");
    endpointRegistrar.receive(fromInstance, message);
  }

  /**
   * Withdraws readiness and completes the accepted requests.
   *
   * @return a future that completes when no request is in progress; {@link #close} may then be
   *     called
   */
  public CompletableFuture<Void> drain() {
    EventLogger.log(EntryEvent.DRAINING, settings.instanceId());
    drainTracker.startDrain();
    schedulePeriodically(DISPATCH_INTERVAL_MILLIS, this::advanceDrain);
    return drainTracker
        .whenDrained()
        .thenRun(() -> EventLogger.log(EntryEvent.DRAINED, settings.instanceId()));
  }

  /** Stops immediately; call {@link #drain} before for a graceful stop. */
  @Override
  public void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    try (Closer closer = Closer.create()) {
      // Closed in reverse order: the client stops the thread pool that it shares with the server.
      closer.register(timer::shutdownNow);
      closer.register(() -> LifeCycle.stop(httpClient));
      closer.register(() -> LifeCycle.stop(server));
    } catch (IOException | RuntimeException e) {
      EventLogger.log(EntryEvent.CLOSE_FAILED, e);
    }
  }

  private HttpClient newHttpClient() {
    HttpClient client = new HttpClient();
    client.setExecutor(threads);
    client.setFollowRedirects(false);
    client.setUserAgentField(null);
    client.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    client.setIdleTimeout(0); // pools close idle connections; a run may take long
    return client;
  }

  private void advanceDrain() {
    if (drainTracker.mayRefuseConnections() && connector.refuseConnections()) {
      drainTracker.completeIfDrained(
          connector.getConnectedEndPoints().size(), claimBatcher.allOutcomesRecorded());
    }
  }

  private void dispatchAll() {
    requestForwarder.dispatchAll();
  }

  private Map<String, Integer> slotDemands() {
    return requestForwarder.slotDemands();
  }

  private void schedulePeriodically(long periodMillis, Runnable task) {
    var unused =
        timer.scheduleWithFixedDelay(
            () -> {
              try {
                task.run();
              } catch (RuntimeException e) {
                EventLogger.log(EntryEvent.TASK_FAILED, e);
              }
            },
            periodMillis,
            periodMillis,
            TimeUnit.MILLISECONDS);
  }
}
