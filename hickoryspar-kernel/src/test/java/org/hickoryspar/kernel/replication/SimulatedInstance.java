package org.hickoryspar.kernel.replication;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.hickoryspar.kernel.membership.ClusterView;
import org.hickoryspar.kernel.membership.ReachableReplica;
import org.hickoryspar.kernel.membership.VoterChange;
import org.hickoryspar.kernel.membership.VoterChanger;
import org.hickoryspar.kernel.membership.VoterPlanner;
import org.hickoryspar.kernel.membership.VoterReconciler;

/** An instance with its replica, its connections to others and the plan of its voters. */
final class SimulatedInstance {

  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final long REPLACE_AFTER_MILLIS = 1_500;

  /** Time without a message after which a connection is closed. */
  private static final long IDLE_TIMEOUT_MILLIS = 1_500;

  private static final long RECONNECT_DELAY_MILLIS = 400;

  final SimulatedReplica replica;
  final String dataCentre;
  long lostUntilNanos;
  boolean removed;
  private final MembershipSimulation simulation;
  private final SplittableRandom random;
  private final Map<SimulatedInstance, Connection> connections = new LinkedHashMap<>();
  private final Set<Long> pendingRequestIds = new HashSet<>();
  private VoterReconciler reconciler = newReconciler();
  private int incarnation;

  SimulatedInstance(
      MembershipSimulation simulation,
      SimulatedReplica replica,
      String dataCentre,
      SplittableRandom random) {
    this.simulation = simulation;
    this.replica = replica;
    this.dataCentre = dataCentre;
    this.random = random;
  }

  String name() {
    return replica.instance;
  }

  /** Erases the disk; the next process has a new replica identifier. */
  void eraseDisk() {
    replica.replicaId = name() + "/new" + (++incarnation);
    replica.disk = new SimulatedDisk(new HardState(0, ""), List.of());
  }

  void start() {
    if (replica.isRunning()) {
      return;
    }
    connections.clear();
    reconciler = newReconciler();
    pendingRequestIds.clear();
    replica.start();
  }

  void stop() {
    if (replica.isRunning()) {
      replica.kill();
    }
  }

  boolean isConnectedTo(SimulatedInstance other) {
    Connection connection = connections.get(other);
    return connection != null && connection.ready;
  }

  void disconnectFrom(SimulatedInstance other) {
    Connection connection = connections.get(other);
    if (connection != null && simulation.isLinkUp(this, other)) {
      connection.ready = false;
    }
  }

  /** Updates the connections and, on the leader, starts the next change of the voters. */
  void maintain(List<SimulatedInstance> instances) {
    if (!replica.isRunning() || replica.isPaused()) {
      return;
    }
    for (SimulatedInstance other : instances) {
      if (other != this) {
        connections.computeIfAbsent(other, o -> new Connection()).update(other);
      }
    }
    reconciler.reconcile(view(), replica.holdsLease(), simulation.nowNanos() / NANOS_PER_MILLI);
  }

  private ClusterView view() {
    ReplicaView view = replica.core.view();
    List<ReachableReplica> reachable = new ArrayList<>();
    reachable.add(new ReachableReplica(replica.replicaId, dataCentre));
    connections.forEach(
        (other, connection) -> {
          if (connection.ready) {
            reachable.add(new ReachableReplica(connection.replicaId, other.dataCentre));
          }
        });
    return new ClusterView(replica.replicaId, view.voters(), view.learners(), reachable);
  }

  private VoterChanger.PendingChange startChange(VoterChange change) {
    simulation.log(name() + " plans " + change);
    long requestId = simulation.nextRequestId();
    pendingRequestIds.add(requestId);
    replica.step(
        change instanceof VoterChange.Add add
            ? new ReplicaEvent.AddVoter(requestId, add.replicaId(), Optional.empty())
            : new ReplicaEvent.RemoveReplica(requestId, ((VoterChange.Remove) change).replicaId()));
    return () -> !pendingRequestIds.contains(requestId);
  }

  void handleChangeEnded(long requestId) {
    pendingRequestIds.remove(requestId);
  }

  private VoterReconciler newReconciler() {
    return new VoterReconciler(
        new VoterPlanner(MembershipSimulation.TOLERATED_LOSSES, REPLACE_AFTER_MILLIS),
        this::startChange);
  }

  @Override
  public String toString() {
    return replica.replicaId
        + (removed ? " removed" : "")
        + ": "
        + (replica.isRunning() ? replica.core.view().toString() : "not running");
  }

  /** What this instance knows of another one. */
  private final class Connection {

    private boolean ready;
    private String replicaId = "";
    private long generation;
    private long lastHeardNanos;
    private long reconnectNanos;

    void update(SimulatedInstance other) {
      long nowNanos = simulation.nowNanos();
      boolean isUp =
          other.replica.isRunning()
              && !other.replica.isPaused()
              && simulation.isLinkUp(SimulatedInstance.this, other);
      if (ready) {
        if (isUp && generation == other.replica.processGeneration) {
          lastHeardNanos = nowNanos;
        } else if (isUp || nowNanos - lastHeardNanos > IDLE_TIMEOUT_MILLIS * NANOS_PER_MILLI) {
          ready = false;
          reconnectNanos = nowNanos + random.nextLong(RECONNECT_DELAY_MILLIS * NANOS_PER_MILLI);
        }
      } else if (isUp && nowNanos >= reconnectNanos) {
        ready = true;
        replicaId = other.replica.replicaId;
        generation = other.replica.processGeneration;
        lastHeardNanos = nowNanos;
      }
    }
  }
}
