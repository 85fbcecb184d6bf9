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

/** Assembles an entry daemon of a cluster whose settings list the instances. */
final class EntryAssembly implements AutoCloseable {

  private static final long DRAIN_TIMEOUT_MILLIS = 30_000;
  private static final PeerHandler IGNORE_MESSAGES = (from, message, reply) -> {};

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
    List<PeerConnection> controlConnections = new ArrayList<>();
    List<PeerConnection> entryConnections = new ArrayList<>();
    for (Settings.InstanceSettings instance : settings.instances()) {
      String controlAddress = instance.controlPeerAddress();
      if (controlAddress != null) {
        controlConnections.add(newConnection(process, instance.id(), controlAddress));
      }
      String entryAddress = instance.entryPeerAddress();
      if (entryAddress != null && !instance.id().equals(settings.instanceId())) {
        entryConnections.add(newConnection(process, instance.id(), entryAddress));
      }
    }
    daemon =
        new EntryDaemon(
            settings,
            process.identity().processIncarnation(),
            new ControlClient(controlConnections, ProcessResources::monotonicMillis),
            new PeerClient(entryConnections),
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
    controlConnections.forEach(PeerConnection::connect);
    entryConnections.forEach(PeerConnection::connect);
    daemon.start();
  }

  private static PeerConnection newConnection(
      ProcessResources process, String instanceId, String address) {
    return new PeerConnection(
        process.identity(),
        process.eventLoops(),
        instanceId,
        Settings.socketAddress(address),
        IGNORE_MESSAGES);
  }

  static EntryAssembly start(Settings settings) throws IOException {
    return new EntryAssembly(settings);
  }

  @Override
  public void close() throws IOException {
    try {
      daemon.drain().get(DRAIN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      // The timeout bounds the stop; closing the daemon aborts and logs the open requests.
    }
    daemon.close();
    closer.close();
  }
}
