package org.hickoryspar.node.cluster;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;
import org.hickoryspar.kernel.membership.ClusterView;
import org.hickoryspar.kernel.membership.ReachableReplica;
import org.hickoryspar.kernel.membership.VoterPlanner;
import org.hickoryspar.kernel.membership.VoterReconciler;
import org.hickoryspar.node.concurrent.PeriodicTask;
import org.hickoryspar.node.control.ReplicatedLog;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.node.transport.PeerServer;
import org.hickoryspar.protocol.ControlDirectory;
import org.hickoryspar.protocol.Envelope;

/**
 * Runs the periodic cluster maintenance of a control daemon: records the leader, connects to the
 * voters, broadcasts the directory of control daemons and reconciles the voters with the plan.
 */
public final class ClusterMaintenance implements AutoCloseable {

  private static final long TICK_INTERVAL_MILLIS = 50;
  private static final long BROADCAST_INTERVAL_TICKS = 20;

  private final ReplicatedLog<?> log;
  private final ControlPeers peers;
  private final PeerServer server;
  private final String dataCentre;
  private final VoterReconciler voterReconciler;
  private final LeaderWatch leaderWatch = new LeaderWatch(ClusterMaintenance::logNoLeader);
  private final Runnable onLeaderChange;
  private final LongSupplier monotonicMillis;
  private final PeriodicTask ticker = new PeriodicTask("cluster", TICK_INTERVAL_MILLIS, this::tick);
  private long tickCount;
  private ControlPeers.Leader lastBroadcastLeader = new ControlPeers.Leader("", 0);

  /**
   * Creates the maintenance without starting it.
   *
   * @param log the replica of this process
   * @param peers connections to control daemons
   * @param server accepts connections of peers
   * @param planner plans the voter changes
   * @param dataCentre data centre of this instance
   * @param onLeaderChange called after the known leader or its term has changed
   * @param monotonicMillis monotonic clock in milliseconds
   */
  public ClusterMaintenance(
      ReplicatedLog<?> log,
      ControlPeers peers,
      PeerServer server,
      VoterPlanner planner,
      String dataCentre,
      Runnable onLeaderChange,
      LongSupplier monotonicMillis) {
    this.log = requireNonNull(log, "log is null");
    this.peers = requireNonNull(peers, "peers is null");
    this.server = requireNonNull(server, "server is null");
    this.dataCentre = requireNonNull(dataCentre, "dataCentre is null");
    this.voterReconciler =
        new VoterReconciler(requireNonNull(planner, "planner is null"), new LogVoterChanger(log));
    this.onLeaderChange = requireNonNull(onLeaderChange, "onLeaderChange is null");
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
  }

  /** Starts the periodic task. */
  public void start() {
    ticker.start();
  }

  private void tick() {
    ReplicatedLog.Status status = log.status();
    status
        .leaderId()
        .ifPresent(id -> peers.recordLeader(ReachableReplica.instanceOf(id), status.term()));
    status.voters().forEach(id -> peers.connectTo(InstanceIds.addressOf(id), "the current voters"));
    ControlPeers.Leader leader = peers.leader();
    boolean leaderChanged = !leader.equals(lastBroadcastLeader);
    if (tickCount++ % BROADCAST_INTERVAL_TICKS == 0 || leaderChanged) {
      lastBroadcastLeader = leader;
      broadcastDirectory();
    }
    if (leaderChanged) {
      onLeaderChange.run();
    }
    ClusterView view = clusterView(status);
    long nowMillis = monotonicMillis.getAsLong();
    leaderWatch.update(view, status.leaderId().isPresent(), nowMillis);
    voterReconciler.reconcile(view, status.holdsLease(), nowMillis);
  }

  private ClusterView clusterView(ReplicatedLog.Status status) {
    List<ReachableReplica> reachable = new ArrayList<>(peers.reachableReplicas());
    reachable.add(new ReachableReplica(status.replicaId(), dataCentre));
    return new ClusterView(status.replicaId(), status.voters(), status.learners(), reachable);
  }

  private static void logNoLeader(ClusterView view, long sinceMillis) {
    List<String> missingVoters =
        view.voters().stream().filter(voter -> !view.isReachable(voter)).toList();
    EventLogger.log(ClusterEvent.NO_LEADER, sinceMillis, view.voters(), missingVoters);
  }

  private void broadcastDirectory() {
    ControlDirectory directory = peers.directory();
    Envelope message = Envelope.newBuilder().setControlDirectory(directory).build();
    server.broadcast(message);
    peers.readyConnections().forEach(connection -> connection.send(message));
  }

  @Override
  public void close() {
    ticker.close();
  }
}
