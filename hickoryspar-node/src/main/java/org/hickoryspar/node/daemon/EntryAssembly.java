package org.hickoryspar.node.daemon;

import static java.util.Objects.requireNonNull;

import com.google.common.io.Closer;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.entry.ControlClient;
import org.hickoryspar.node.entry.EntryDaemon;
import org.hickoryspar.node.entry.PeerClient;
import org.hickoryspar.node.observability.ProcessMetrics;
import org.hickoryspar.node.observability.Tracing;
import org.hickoryspar.node.settings.Settings;
import org.hickoryspar.node.transport.PeerConnection;
import org.hickoryspar.node.transport.PeerHandler;
import org.hickoryspar.node.transport.PeerServer;

/** Assembles an entry daemon. */
final class EntryAssembly implements AutoCloseable {

  private static final long DRAIN_LIMIT_MILLIS = 30_000;
  private static final PeerHandler IGNORE = (from, message, reply) -> {};

  private final Closer closer = Closer.create();
  private final EntryDaemon daemon;

  private EntryAssembly(Settings settings) throws IOException {
    Settings.EntrySettings entry =
        requireNonNull(settings.entry(), "the settings have no entry section");
    Tracing tracing = Tracing.start(settings, "entry");
    closer.register(tracing::close);
    PrometheusRegistry registry = new PrometheusRegistry();
    ProcessMetrics.register(registry);
    ProcessResources process = closer.register(new ProcessResources(settings));
    List<PeerConnection> controls = new ArrayList<>();
    List<PeerConnection> entries = new ArrayList<>();
    for (Settings.InstanceSettings instance : settings.instances()) {
      String control = instance.controlPeerAddress();
      if (control != null) {
        controls.add(connection(process, instance.id(), control));
      }
      String peer = instance.entryPeerAddress();
      if (peer != null && !instance.id().equals(settings.instanceId())) {
        entries.add(connection(process, instance.id(), peer));
      }
    }
    daemon =
        new EntryDaemon(
            settings,
            process.identity().processIncarnation(),
            new ControlClient(controls, ProcessResources::monotonicMillis),
            new PeerClient(entries),
            registry,
            tracing.tracer(),
            Clock.systemUTC(),
            ProcessResources::monotonicMillis);
    PeerServer server =
        new PeerServer(
            process.identity(),
            process.eventLoops(),
            (from, message, reply) -> daemon.receive(from.getInstanceId(), message));
    Result<InetSocketAddress> bound = server.listen(Settings.socketAddress(entry.peerAddress()));
    if (!bound.isSuccess()) {
      throw new IOException(bound.problem().orElseThrow().message());
    }
    closer.register(server::close);
    controls.forEach(PeerConnection::connect);
    entries.forEach(PeerConnection::connect);
    daemon.start();
  }

  private static PeerConnection connection(
      ProcessResources process, String instanceId, String address) {
    return new PeerConnection(
        process.identity(),
        process.eventLoops(),
        instanceId,
        Settings.socketAddress(address),
        IGNORE);
  }

  static EntryAssembly start(Settings settings) throws IOException {
    return new EntryAssembly(settings);
  }

  @Override
  public void close() throws IOException {
    try {
      daemon.drain().get(DRAIN_LIMIT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      // The limit bounds a stop; what is still open then is cut off and logged by the daemon.
    }
    daemon.close();
    closer.close();
  }
}
