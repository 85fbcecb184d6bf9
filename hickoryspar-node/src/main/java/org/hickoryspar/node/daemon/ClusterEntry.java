package org.hickoryspar.node.daemon;

import static java.util.Objects.requireNonNull;

import com.google.common.io.Closer;
import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.hickoryspar.node.cluster.ClusterSettings;
import org.hickoryspar.node.cluster.ControlPeers;
import org.hickoryspar.node.dispatch.CallTelemetry;
import org.hickoryspar.node.dispatch.LeaderClient;
import org.hickoryspar.node.faults.FaultInjection;
import org.hickoryspar.node.observability.ProcessMetrics;
import org.hickoryspar.node.transport.PeerIdentity;

/** An entry of a cluster whose instances find each other from seeds: it passes calls on. */
public final class ClusterEntry implements AutoCloseable {

  private final Closer closer = Closer.create();
  private final ControlPeers peers;
  private final LeaderClient leaderClient;

  /**
   * Starts an entry.
   *
   * @param settings where it runs
   * @param metrics where the metrics of the process are registered
   */
  public ClusterEntry(ClusterSettings settings, PrometheusRegistry metrics) {
    requireNonNull(settings, "settings is null");
    PeerIdentity identity =
        new PeerIdentity(
            settings.cluster(),
            settings.instanceName(),
            ProcessResources.processIncarnation(),
            "",
            settings.dataCentre());
    FaultInjection faults = FaultInjection.fromSystemProperty();
    EventLoopGroup eventLoops = ProcessResources.eventLoops(closer, 1);
    ScheduledExecutorService timer =
        Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "calls"));
    closer.register(timer::shutdownNow);
    peers = new ControlPeers(identity, eventLoops, "", faults::dial);
    closer.register(peers::close);
    leaderClient =
        new LeaderClient(
            peers,
            settings.instanceName(),
            null,
            timer,
            new CallTelemetry(metrics),
            ProcessResources::monotonicMillis);
    ProcessMetrics.register(metrics);
    settings.seeds().forEach(seed -> peers.connectTo(seed, "the seeds"));
  }

  /**
   * Returns the sender of calls to the leader.
   *
   * @return the sender
   */
  public LeaderClient leaderClient() {
    return leaderClient;
  }

  /**
   * Returns the connections to control daemons.
   *
   * @return the connections, which further seeds may be added to
   */
  public ControlPeers peers() {
    return peers;
  }

  @Override
  public void close() throws IOException {
    closer.close();
  }
}
