package org.hickoryspar.node.cluster;

import static java.util.Objects.requireNonNull;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Function;
import org.hickoryspar.kernel.membership.ReachableReplica;
import org.hickoryspar.node.control.ReplicationTransport;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.node.transport.PeerConnection;
import org.hickoryspar.node.transport.PeerHandler;
import org.hickoryspar.node.transport.PeerIdentity;
import org.hickoryspar.protocol.ControlDirectory;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.Hello;
import org.hickoryspar.protocol.ReplicationMessage;
import org.jspecify.annotations.Nullable;

/**
 * Connections to all known control daemons, which are discovered from the seeds, from the
 * directories of other control daemons and from the membership of the replicated log. Thread-safe.
 */
public final class ControlPeers implements ReplicationTransport, AutoCloseable {

  private final PeerIdentity identity;
  private final EventLoopGroup eventLoops;
  private final String ownAddress;
  private final Function<String, InetSocketAddress> addressResolver;
  private final PeerHandler handler;
  private final Map<String, PeerConnection> connectionsByAddress = new ConcurrentHashMap<>();
  private final List<Consumer<Leader>> leaderListeners = new CopyOnWriteArrayList<>();
  private final List<Consumer<String>> readyListeners = new CopyOnWriteArrayList<>();
  private volatile Leader leader = new Leader("", 0);

  /**
   * Creates an empty set of connections.
   *
   * @param identity identity of this process
   * @param eventLoops event loops, owned by the caller
   * @param ownAddress peer address of this process, to which it does not connect; empty for none
   * @param addressResolver returns the socket address at which the address of a peer is reached
   */
  public ControlPeers(
      PeerIdentity identity,
      EventLoopGroup eventLoops,
      String ownAddress,
      Function<String, InetSocketAddress> addressResolver) {
    this.identity = requireNonNull(identity, "identity is null");
    this.eventLoops = requireNonNull(eventLoops, "eventLoops is null");
    this.ownAddress = requireNonNull(ownAddress, "ownAddress is null");
    this.addressResolver = requireNonNull(addressResolver, "addressResolver is null");
    this.handler =
        (from, message, reply) -> {
          if (message.hasControlDirectory()) {
            merge(message.getControlDirectory(), from.getInstanceId());
          }
        };
  }

  /**
   * Connects to a control daemon unless there is already a connection to it. An unusable address is
   * logged and ignored, so that one entry of a list does not affect the others.
   *
   * @param address its peer address; ignored if it is empty or the address of this process
   * @param source source of the address, for the log
   */
  public void connectTo(String address, String source) {
    if (address.isEmpty() || address.equals(ownAddress)) {
      return;
    }
    connectionsByAddress.computeIfAbsent(address, key -> newConnection(address, source));
  }

  /**
   * Connects at once to a control daemon that has just connected to this process, so that an
   * earlier attempt, which it refused because it had not started, is not waited out.
   *
   * @param peer the hello of the connected process; ignored if it is not a control daemon
   */
  public void connectBack(Hello peer) {
    if (!requireNonNull(peer, "peer is null").getReplicaId().isEmpty()) {
      connectTo(peer.getInstanceId(), "its incoming connection");
      PeerConnection connection = connectionsByAddress.get(peer.getInstanceId());
      if (connection != null) {
        connection.connectNow();
      }
    }
  }

  /** Returns null, so that no connection is added, if the address is unusable. */
  private @Nullable PeerConnection newConnection(String address, String source) {
    InetSocketAddress socketAddress;
    try {
      socketAddress = addressResolver.apply(address);
    } catch (IllegalArgumentException e) {
      EventLogger.log(ClusterEvent.ADDRESS_UNUSABLE, address, source, e.getMessage());
      return null;
    }
    EventLogger.log(ClusterEvent.CONTROL_FOUND, address, source);
    PeerConnection connection =
        new PeerConnection(
            identity,
            eventLoops,
            address,
            socketAddress,
            handler,
            () -> readyListeners.forEach(listener -> listener.accept(address)));
    connection.connect();
    return connection;
  }

  /**
   * Merges the directory of another control daemon: connects to its control daemons and records its
   * leader.
   *
   * @param directory addresses of control daemons and the leader
   * @param source instance that sent the directory
   */
  public void merge(ControlDirectory directory, String source) {
    requireNonNull(directory, "directory is null");
    directory.getControlAddressesList().forEach(address -> connectTo(address, source));
    recordLeader(directory.getLeaderInstance(), directory.getTerm());
  }

  /**
   * Records the leader of a term. Ignored if a later term or the leader of this term is already
   * known.
   *
   * @param instanceId identifier of the leader, empty if it is unknown
   * @param term the term
   */
  public void recordLeader(String instanceId, long term) {
    Leader newLeader = new Leader(instanceId, term);
    if (updateLeader(newLeader)) {
      EventLogger.log(
          ClusterEvent.LEADER_KNOWN, instanceId.isEmpty() ? "nobody" : instanceId, term);
      leaderListeners.forEach(listener -> listener.accept(newLeader));
    }
  }

  /** Replaces the leader if the new one is more recent; returns whether the instance changed. */
  private synchronized boolean updateLeader(Leader newLeader) {
    Leader currentLeader = leader;
    boolean isNewer =
        newLeader.term > currentLeader.term
            || (newLeader.term == currentLeader.term && currentLeader.instanceId.isEmpty());
    if (isNewer) {
      leader = newLeader;
    }
    return isNewer && !newLeader.instanceId.equals(currentLeader.instanceId);
  }

  /**
   * Adds a listener that is called when the leading instance changes or becomes unknown. It must
   * not block.
   *
   * @param listener the listener
   */
  public void addLeaderListener(Consumer<Leader> listener) {
    leaderListeners.add(requireNonNull(listener, "listener is null"));
  }

  /**
   * Adds a listener that is called with the address of a control daemon each time a connection to
   * it is ready. It must not block.
   *
   * @param listener the listener
   */
  public void addReadyListener(Consumer<String> listener) {
    readyListeners.add(requireNonNull(listener, "listener is null"));
  }

  /**
   * Returns the leader of the latest known term.
   *
   * @return its instance identifier and term
   */
  public Leader leader() {
    return leader;
  }

  /**
   * Returns the connection to an instance.
   *
   * @param instanceId identifier of the instance
   * @return the connection, or empty if there is none or it is not ready
   */
  public Optional<PeerConnection> connection(String instanceId) {
    PeerConnection connection = connectionsByAddress.get(InstanceIds.addressOf(instanceId));
    return Optional.ofNullable(connection).filter(PeerConnection::isReady);
  }

  /**
   * Returns the connections that are ready.
   *
   * @return the connections
   */
  public Collection<PeerConnection> readyConnections() {
    return connectionsByAddress.values().stream().filter(PeerConnection::isReady).toList();
  }

  /**
   * Returns the control replicas that this process is connected to.
   *
   * @return the replicas, without the one of this process
   */
  public List<ReachableReplica> reachableReplicas() {
    List<ReachableReplica> replicas = new ArrayList<>();
    for (PeerConnection connection : readyConnections()) {
      Hello peer = connection.peer();
      if (!peer.getReplicaId().isEmpty()) {
        replicas.add(new ReachableReplica(peer.getReplicaId(), peer.getDataCentre()));
      }
    }
    return replicas;
  }

  /**
   * Returns the directory of the control daemons known to this process.
   *
   * @return the addresses of the connected control daemons and, if it is one, of this process, and
   *     the leader
   */
  public ControlDirectory directory() {
    Leader currentLeader = leader;
    ControlDirectory.Builder directory =
        ControlDirectory.newBuilder()
            .setLeaderInstance(currentLeader.instanceId)
            .setTerm(currentLeader.term);
    if (!ownAddress.isEmpty() && !identity.replicaId().isEmpty()) {
      directory.addControlAddresses(ownAddress);
    }
    connectionsByAddress.forEach(
        (address, connection) -> {
          if (connection.isReady() && !connection.peer().getReplicaId().isEmpty()) {
            directory.addControlAddresses(address);
          }
        });
    return directory.build();
  }

  @Override
  public void send(ReplicationMessage message) {
    requireNonNull(message, "message is null");
    String address = InstanceIds.addressOf(message.getToReplica());
    connectTo(address, "the current members");
    PeerConnection connection = connectionsByAddress.get(address);
    if (connection != null) {
      connection.send(Envelope.newBuilder().setReplication(message).build());
    }
  }

  @Override
  public void close() {
    connectionsByAddress.values().forEach(PeerConnection::close);
  }

  /**
   * The leader of a term.
   *
   * @param instanceId identifier of the leader, empty if it is unknown
   * @param term the term
   */
  public record Leader(String instanceId, long term) {

    /**
     * Rejects a missing identifier.
     *
     * @throws NullPointerException if {@code instanceId} is null
     */
    public Leader {
      requireNonNull(instanceId, "instanceId is null");
    }
  }
}
