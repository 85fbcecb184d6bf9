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

/** The entry daemon: serves callers, minions and operators, and forwards requests to minions. */
public final class EntryDaemon implements AutoCloseable {

  /** Entries and minions of the planned size (1,700 workers) with room for tombstones. */
  private static final int MAX_ENDPOINTS = 16_384;

  /** Bounds how late a deadline in the queue, or the end of a lease, is noticed. */
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
   * @param processIncarnation incarnation of this process, the same that the transport announces;
   *     claims carry it, so that control can tell which claims died with a process
   * @param control the link to the control leader
   * @param peers the link to the other entries
   * @param registry the registry that {@code /metrics} shows
   * @param tracer makes the spans
   * @param wallClock the time of day, for the age of idempotency keys
   * @param monotonicMillis a clock that never goes back, for deadlines and leases
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
   * Starts to serve.
   *
   * @throws IOException if the address cannot be bound
   */
  public void start() throws IOException {
    try {
      server.addConnector(connector);
      server.setHandler(handler);
      httpClient.start();
      // Answers pass through unchanged: no decoding of gzip, no handling of 401 by the client.
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
   * Returns the port on which callers are served, useful when the settings name port 0.
   *
   * @return the port
   */
  public int port() {
    return connector.getLocalPort();
  }

  /** Returns whether requests to a service can be forwarded to at least this many minions. */
  boolean isServing(String service, int minions) {
    return configLease.current().isPresent()
        && endpointTable.live(service, monotonicMillis.getAsLong()).size() >= minions;
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
    endpointRegistrar.receive(fromInstance, message);
  }

  /**
   * Withdraws readiness and finishes accepted requests.
   *
   * @return completes when no request is left; {@link #close} may then be called
   */
  public CompletableFuture<Void> drain() {
    EventLogger.log(EntryEvent.DRAINING, settings.instanceId());
    drainTracker.startDrain();
    schedulePeriodically(DISPATCH_INTERVAL_MILLIS, this::advanceDrain);
    return drainTracker
        .whenDrained()
        .thenRun(() -> EventLogger.log(EntryEvent.DRAINED, settings.instanceId()));
  }

  /** Stops at once; {@link #drain} first for a planned stop. */
  @Override
  public void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    try (Closer closer = Closer.create()) {
      // Closed from the last to the first; the client stops the shared thread pool.
      closer.register(timer::shutdownNow);
      closer.register(() -> LifeCycle.stop(httpClient));
      closer.register(() -> LifeCycle.stop(server));
    } catch (IOException | RuntimeException e) {
      EventLogger.log(EntryEvent.CLOSE_FAILED, e);
    }
  }

  private HttpClient newHttpClient() {
    HttpClient httpClient = new HttpClient();
    httpClient.setExecutor(threads);
    httpClient.setFollowRedirects(false);
    httpClient.setUserAgentField(null);
    httpClient.setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
    httpClient.setIdleTimeout(0); // the pool closes idle connections; a run may take long
    return httpClient;
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
