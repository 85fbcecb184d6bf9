package org.hickoryspar.node.cluster;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.hickoryspar.kernel.membership.ReachableReplica;
import org.hickoryspar.kernel.membership.VoterPlanner;
import org.hickoryspar.node.control.ReplicatedLog;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.node.transport.PeerServer;
import org.hickoryspar.protocol.ControlDirectory;
import org.hickoryspar.protocol.Envelope;

/** On a control daemon, keeps the others and the entries informed, and the voters as planned. */
public final class ClusterKeeper implements AutoCloseable {

  private static final long TICK_MILLIS = 50;
  private static final long BROADCAST_EVERY_TICKS = 20;

  private final ReplicatedLog<?> log;
  private final ControlPeers peers;
  private final PeerServer server;
  private final VoterKeeper voters;
  private final Runnable onLeader;
  private final LongSupplier monotonicMillis;
  private final ScheduledExecutorService ticks =
      Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "cluster"));
  private long tick;
  private ControlPeers.Leader announced = new ControlPeers.Leader("", 0);

  /**
   * Creates a keeper that does not run yet.
   *
   * @param log the replica of this process
   * @param peers connections to control daemons
   * @param server accepts connections of peers
   * @param planner chooses the voters
   * @param dataCentre where this process runs
   * @param onLeader run when another leader is known
   * @param monotonicMillis a clock that never goes back
   */
  public ClusterKeeper(
      ReplicatedLog<?> log,
      ControlPeers peers,
      PeerServer server,
      VoterPlanner planner,
      String dataCentre,
      Runnable onLeader,
      LongSupplier monotonicMillis) {
    this.log = requireNonNull(log, "log is null");
    this.peers = requireNonNull(peers, "peers is null");
    this.server = requireNonNull(server, "server is null");
    this.voters = new VoterKeeper(log, peers, planner, dataCentre);
    this.onLeader = requireNonNull(onLeader, "onLeader is null");
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
  }

  /** Starts to run. */
  public void start() {
    ticks.scheduleWithFixedDelay(this::guarded, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void guarded() {
    try {
      tick();
    } catch (RuntimeException e) {
      // An exception would end the schedule.
      EventLogger.log(ClusterEvent.TICK_FAILED, e);
    }
  }

  private void tick() {
    ReplicatedLog.Status status = log.status();
    status
        .leaderId()
        .ifPresent(id -> peers.noteLeader(ReachableReplica.instanceOf(id), status.term()));
    status
        .voters()
        .forEach(id -> peers.connectTo(InstanceIds.addressOf(id), "the recorded voters"));
    ControlPeers.Leader leader = peers.leader();
    boolean changed = !leader.equals(announced);
    if (tick++ % BROADCAST_EVERY_TICKS == 0 || changed) {
      announced = leader;
      broadcastDirectory();
    }
    if (changed) {
      onLeader.run();
    }
    voters.advance(monotonicMillis.getAsLong());
  }

  private void broadcastDirectory() {
    ControlDirectory directory = peers.directory();
    Envelope message = Envelope.newBuilder().setControlDirectory(directory).build();
    server.broadcast(message);
    peers.ready().forEach(connection -> connection.send(message));
  }

  @Override
  public void close() {
    ticks.shutdownNow();
  }
}
