package org.hickoryspar.node.daemon;

import static java.util.Objects.requireNonNull;

import com.google.common.io.Closer;
import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.hickoryspar.node.cluster.ClusterSettings;
import org.hickoryspar.node.cluster.ControlPeers;
import org.hickoryspar.node.dispatch.CallIds;
import org.hickoryspar.node.dispatch.CallTelemetry;
import org.hickoryspar.node.dispatch.LeaderClient;
import org.hickoryspar.node.faults.FaultInjection;
import org.hickoryspar.node.observability.ProcessMetrics;
import org.hickoryspar.node.transport.PeerIdentity;

/**
 * An entry daemon of a cluster without a list of instances; it discovers the control daemons from
 * seeds and forwards calls to the leader.
 */
public final class ClusterEntryDaemon implements AutoCloseable {

  private final Closer closer = Closer.create();
  private final ControlPeers peers;
  private final LeaderClient leaderClient;

  /**
   * Starts an entry daemon.
   *
   * @param settings location of the instance and seeds
   * @param metrics registry for the metrics of the process
   */
  public ClusterEntryDaemon(ClusterSettings settings, PrometheusRegistry metrics) {
    requireNonNull(settings, "settings is null");
    PeerIdentity identity =
        new PeerIdentity(
            settings.cluster(),
            settings.instanceName(),
            ProcessResources.newProcessIncarnation(),
            "",
            settings.dataCentre());
    FaultInjection faults = FaultInjection.fromSystemProperty();
    EventLoopGroup eventLoops = ProcessResources.newEventLoops(closer, 1);
    ScheduledExecutorService timer =
        Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "calls"));
    closer.register(timer::shutdownNow);
    peers = new ControlPeers(identity, eventLoops, "", faults::resolvePeerAddress);
    closer.register(peers::close);
    leaderClient =
        new LeaderClient(
            peers,
            settings.instanceName(),
            null,
            timer,
            new CallTelemetry(metrics),
            ProcessResources::monotonicMillis,
            new CallIds(new SecureRandom()));
    ProcessMetrics.register(metrics);
    settings.seeds().forEach(seed -> peers.connectTo(seed, "the seeds"));
  }

  /**
   * Returns the client for calls to the leader.
   *
   * @return the client
   */
  public LeaderClient leaderClient() {
    return leaderClient;
  }

  /**
   * Returns the connections to control daemons.
   *
   * @return the connections; the caller may add further seeds
   */
  public ControlPeers peers() {
    return peers;
  }

  @Override
  public void close() throws IOException {
    closer.close();
  }
}
