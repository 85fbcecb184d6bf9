package org.hickoryspar.node.control;

import static java.util.Objects.requireNonNull;

import com.google.common.io.Closer;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.node.settings.Settings;
import org.hickoryspar.node.transport.PeerConnection;
import org.hickoryspar.node.transport.PeerHandler;
import org.hickoryspar.node.transport.PeerIdentity;
import org.hickoryspar.node.transport.PeerServer;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.ReplicationMessage;

/** Runs the control daemon of one instance: its connections, its replica and its servers. */
public final class ControlDaemon implements AutoCloseable {

  private static final long TRANSFER_TIMEOUT_MILLIS = 5_000;

  private final Settings settings;
  private final ReplicatedLog<CommandResult> log;
  private final SchedulingLoop scheduling;
  private final PeerServer peerServer;
  private final AdminServer adminServer;
  private final Connections connections;
  private final Closer closer = Closer.create();

  /**
   * Creates a daemon that is not started.
   *
   * @param settings settings of this instance, with a control section
   * @param log the replica of this instance; closed with the daemon
   * @param scheduling the scheduling loop; closed with the daemon
   * @param peerServer accepts connections from peers; closed with the daemon
   * @param adminServer serves health and metrics; closed with the daemon
   * @param connections connections to the other replicas; closed with the daemon
   */
  public ControlDaemon(
      Settings settings,
      ReplicatedLog<CommandResult> log,
      SchedulingLoop scheduling,
      PeerServer peerServer,
      AdminServer adminServer,
      Connections connections) {
    this.settings = requireNonNull(settings, "settings is null");
    this.log = requireNonNull(log, "log is null");
    this.scheduling = requireNonNull(scheduling, "scheduling is null");
    this.peerServer = requireNonNull(peerServer, "peerServer is null");
    this.adminServer = requireNonNull(adminServer, "adminServer is null");
    this.connections = requireNonNull(connections, "connections is null");
  }

  /**
   * Starts the servers, the connections to the other replicas and the scheduling loop.
   *
   * @throws IOException if an address cannot be bound
   */
  public void start() throws IOException {
    Settings.ControlSettings control =
        requireNonNull(settings.control(), "the settings have no control section");
    closer.register(connections);
    Result<InetSocketAddress> bound =
        peerServer.listen(Settings.socketAddress(control.peerAddress()));
    if (!bound.isSuccess()) {
      throw new IOException(bound.problem().orElseThrow().message());
    }
    closer.register(peerServer::close);
    adminServer.start();
    closer.register(adminServer);
    connections.connect();
    scheduling.start();
    EventLogger.log(
        ControlEvent.STARTED, settings.instanceId(), control.httpAddress(), control.peerAddress());
  }

  /** Transfers leadership if this replica is the leader, then stops. Blocks up to 5 s for that. */
  @Override
  public void close() throws IOException {
    EventLogger.log(ControlEvent.STOPPING, settings.instanceId());
    adminServer.drain();
    if (log.status().role().equals("leader")) {
      try {
        log.transferLeadership().get(TRANSFER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (ExecutionException | TimeoutException e) {
        // Without a transfer, the other replicas elect a leader after the election timeout.
      }
    }
    scheduling.close();
    log.close();
    closer.close();
  }

  /** Connections to the control replicas on the other instances. */
  public static final class Connections implements ReplicationTransport, java.io.Closeable {

    private final Map<String, PeerConnection> byInstance = new ConcurrentHashMap<>();

    /**
     * Creates a connection to each other control instance; none of them is opened yet.
     *
     * @param settings settings that list the instances
     * @param identity identity of this process
     * @param eventLoops event loops, owned by the caller
     */
    public Connections(Settings settings, PeerIdentity identity, EventLoopGroup eventLoops) {
      PeerHandler ignoringHandler = (from, message, reply) -> {};
      for (Settings.InstanceSettings instance : settings.instances()) {
        String address = instance.controlPeerAddress();
        if (address != null && !instance.id().equals(settings.instanceId())) {
          byInstance.put(
              instance.id(),
              new PeerConnection(
                  identity,
                  eventLoops,
                  instance.id(),
                  Settings.socketAddress(address),
                  ignoringHandler));
        }
      }
    }

    void connect() {
      byInstance.values().forEach(PeerConnection::connect);
    }

    @Override
    public void send(ReplicationMessage message) {
      requireNonNull(message, "message is null");
      String replicaId = message.getToReplica();
      PeerConnection connection =
          byInstance.get(replicaId.substring(0, Math.max(0, replicaId.indexOf('/'))));
      if (connection != null) {
        connection.send(Envelope.newBuilder().setReplication(message).build());
      }
    }

    @Override
    public void close() {
      List<PeerConnection> connections = new ArrayList<>(byInstance.values());
      connections.forEach(PeerConnection::close);
    }
  }
}
