package org.hickoryspar.node.daemon;

import static java.util.Objects.requireNonNull;

import com.google.common.base.Suppliers;
import com.google.common.io.Closer;
import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.security.SecureRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Supplier;
import org.hickoryspar.node.cluster.ClusterSettings;
import org.hickoryspar.node.cluster.ControlPeers;
import org.hickoryspar.node.dispatch.CallIds;
import org.hickoryspar.node.dispatch.CallTelemetry;
import org.hickoryspar.node.dispatch.LeaderClient;
import org.hickoryspar.node.faults.FaultInjection;
import org.hickoryspar.node.observability.ProcessMetrics;
import org.hickoryspar.node.observability.StartSteps;
import org.hickoryspar.node.transport.PeerIdentity;

/**
 * An entry daemon of a cluster without a list of instances; it discovers the control daemons from
 * seeds and forwards calls to the leader.
 */
public final class ClusterEntryDaemon implements AutoCloseable {

  private final Closer closer = Closer.create();
  private final ControlPeers peers;
  private final LeaderClient leaderClient;
  private final PrometheusRegistry metrics;
  private final Supplier<CallTelemetry> callTelemetry;
  private final StartSteps steps;

  /**
   * Starts an entry daemon, which connects to the control daemons in the background. Its metrics
   * are registered when the first call has ended or by {@link #registerMetrics}, since no call
   * waits for them.
   *
   * @param settings location of the instance and seeds
   * @param metrics registry for the metrics of the process
   * @param steps steps of the start of this process
   */
  public ClusterEntryDaemon(
      ClusterSettings settings, PrometheusRegistry metrics, StartSteps steps) {
    requireNonNull(settings, "settings is null");
    this.metrics = requireNonNull(metrics, "metrics is null");
    this.callTelemetry = Suppliers.memoize(() -> new CallTelemetry(metrics));
    this.steps = requireNonNull(steps, "steps is null");
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
            (call, result, summary) -> callTelemetry.get().onCallEnded(call, result, summary),
            ProcessResources::monotonicMillis,
            new CallIds(new SecureRandom()));
    peers.addLeaderListener(leader -> recordLeader());
    peers.addReadyListener(address -> recordLeader());
    settings.seeds().forEach(seed -> peers.connectTo(seed, "the seeds"));
  }

  private void recordLeader() {
    String leader = peers.leader().instanceId();
    if (!leader.isEmpty()) {
      steps.reach(StartSteps.Step.LEADER_KNOWN);
      if (peers.connection(leader).isPresent()) {
        steps.reach(StartSteps.Step.LEADER_CONNECTED);
      }
    }
  }

  /** Registers the metrics of this daemon and of the process; must be called once. */
  public void registerMetrics() {
    var unused = callTelemetry.get();
    ProcessMetrics.register(metrics);
    steps.register(metrics);
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
