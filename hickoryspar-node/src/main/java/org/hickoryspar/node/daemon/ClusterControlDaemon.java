package org.hickoryspar.node.daemon;

import static java.util.Objects.requireNonNull;

import com.google.common.io.Closer;
import io.netty.channel.EventLoopGroup;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.control.ControlState;
import org.hickoryspar.kernel.dispatch.DispatchSettings;
import org.hickoryspar.kernel.dispatch.Dispatcher;
import org.hickoryspar.kernel.membership.VoterPlanner;
import org.hickoryspar.kernel.replication.ReplicaOptions;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.cluster.ClusterMaintenance;
import org.hickoryspar.node.cluster.ClusterSettings;
import org.hickoryspar.node.cluster.ControlPeers;
import org.hickoryspar.node.cluster.InstanceIds;
import org.hickoryspar.node.concurrent.PeriodicTask;
import org.hickoryspar.node.control.ControlMetrics;
import org.hickoryspar.node.control.ControlStateMachine;
import org.hickoryspar.node.control.Proposer;
import org.hickoryspar.node.control.ReplicatedLog;
import org.hickoryspar.node.dispatch.CallIds;
import org.hickoryspar.node.dispatch.CallTelemetry;
import org.hickoryspar.node.dispatch.DataCentreSwitcher;
import org.hickoryspar.node.dispatch.DecisionTelemetry;
import org.hickoryspar.node.dispatch.DispatchLoop;
import org.hickoryspar.node.dispatch.LeaderClient;
import org.hickoryspar.node.dispatch.LeaderServices;
import org.hickoryspar.node.dispatch.MinionClient;
import org.hickoryspar.node.dispatch.MinionRegistry;
import org.hickoryspar.node.dispatch.MinionRegistryStore;
import org.hickoryspar.node.dispatch.StartStepsMinionClient;
import org.hickoryspar.node.faults.FaultInjection;
import org.hickoryspar.node.observability.ProcessMetrics;
import org.hickoryspar.node.observability.StartSteps;
import org.hickoryspar.node.replication.ReplicaDriver;
import org.hickoryspar.node.storage.CacheFile;
import org.hickoryspar.node.storage.FileLogStorage;
import org.hickoryspar.node.storage.FileOperations;
import org.hickoryspar.node.storage.FolderOpener;
import org.hickoryspar.node.storage.ReplicaFolder;
import org.hickoryspar.node.transport.PeerIdentity;
import org.hickoryspar.node.transport.PeerServer;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.Failure;
import org.hickoryspar.protocol.Hello;

/** A control daemon of a cluster without a list of instances; it discovers its peers from seeds. */
public final class ClusterControlDaemon implements AutoCloseable {

  private static final int EXIT_REPLICA_FAILED = 70;

  /** Longest wait of a call after the election of this replica until it may decide. */
  private static final long MAX_SESSION_WAIT_MILLIS = 500;

  private static final long TRANSFER_TIMEOUT_MILLIS = 2_000;

  /** Time for which a voter must be unreachable before another replica replaces it. */
  private static final long VOTER_REPLACEMENT_DELAY_MILLIS = 1_500;

  /** Time since the start after which changes are accepted with fewer voters than planned, too. */
  private static final long ENOUGH_VOTERS_TIMEOUT_MILLIS = 8_000;

  private final Closer closer = Closer.create();
  private final ReplicatedLog<CommandResult> log;
  private final ControlPeers peers;
  private final CompletableFuture<LeaderServices> startedServices = new CompletableFuture<>();
  private final LeaderClient leaderClient;
  private final DataCentreSwitcher dataCentreSwitcher;
  private final MinionRegistry registry;
  private final VoterPlanner voterPlanner;
  private final long startedMillis = ProcessResources.monotonicMillis();

  /**
   * Starts a control daemon. What an election needs comes first: the data folder, the replica, and
   * the connections of its peers. Calls that arrive before the rest is there wait for it.
   *
   * @param settings location of the instance, seeds and tolerated failures
   * @param dataFolder folder of the replica and of the list of minions
   * @param dispatchSettings timeouts and limits of the dispatcher
   * @param minionClients creates what sends orders to minions, after the replica has started; the
   *     client is owned by the caller
   * @param metrics registry for the metrics of the process
   * @param steps steps of the start of this process
   * @throws IOException if the folder is unusable or the address for peers cannot be bound
   */
  public ClusterControlDaemon(
      ClusterSettings settings,
      Path dataFolder,
      DispatchSettings dispatchSettings,
      Supplier<MinionClient> minionClients,
      PrometheusRegistry metrics,
      StartSteps steps)
      throws IOException {
    requireNonNull(settings, "settings is null");
    requireNonNull(minionClients, "minionClients is null");
    requireNonNull(steps, "steps is null");
    SecureRandom random = new SecureRandom();
    FaultInjection faults = FaultInjection.fromSystemProperty();
    FileLogStorage storage = openStorage(settings, dataFolder, faults.files(), random);
    long folderLockedNanos = System.nanoTime();
    steps.reach(StartSteps.Step.FOLDER_LOCKED);
    PeerIdentity identity =
        new PeerIdentity(
            settings.cluster(),
            settings.peerAddress(),
            ProcessResources.newProcessIncarnation(),
            storage.identity().replicaId(),
            settings.dataCentre());
    EventLoopGroup eventLoops = ProcessResources.newEventLoops(closer, 1);
    ScheduledExecutorService timer = newTimer();
    ControlState state = new ControlState();
    ControlStateMachine stateMachine = new ControlStateMachine(state);
    peers =
        new ControlPeers(identity, eventLoops, settings.peerAddress(), faults::resolvePeerAddress);
    voterPlanner = new VoterPlanner(settings.toleratedFailures(), VOTER_REPLACEMENT_DELAY_MILLIS);
    ReplicaDriver<CommandResult> replica =
        newReplica(identity.replicaId(), stateMachine, peers, storage, folderLockedNanos, random);
    log = replica;
    PeerServer server = new PeerServer(identity, eventLoops, this::handleMessage, this::welcome);
    // Peers connect while the log is read; their messages are dropped until the replica runs.
    listen(server, settings.peerAddress());
    steps.reach(StartSteps.Step.PEERS_BOUND);
    settings.seeds().forEach(seed -> peers.connectTo(seed, "the seeds"));
    replica.start();
    steps.reach(StartSteps.Step.REPLICA_STARTED);
    Proposer proposer = new Proposer(log, faults::wallClockMillis);
    DispatchLoop loop =
        new DispatchLoop(
            state,
            proposer,
            new StartStepsMinionClient(minionClients.get(), steps),
            dispatchSettings,
            new DecisionTelemetry(metrics),
            ProcessResources::monotonicMillis);
    closer.register(loop::close);
    loop.addListener(dispatcher -> handleSessionStarted(dispatcher, steps));
    stateMachine.addListener(loop::handleApplied);
    LeaderServices services =
        new LeaderServices(
            state,
            proposer,
            log,
            loop,
            this::hasEnoughVoters,
            ProcessResources::monotonicMillis,
            MAX_SESSION_WAIT_MILLIS);
    leaderClient =
        newLeaderClient(
            settings, peers, services, timer, new CallTelemetry(metrics), new CallIds(random));
    dataCentreSwitcher =
        new DataCentreSwitcher(leaderClient, timer, ProcessResources::monotonicMillis);
    registry = new MinionRegistry(leaderClient, ProcessResources::monotonicMillis);
    startRegistryTasks(new CacheFile(faults.files(), dataFolder, "minions"));
    peers.addLeaderListener(leader -> recordLeader(leader, steps));
    startClusterMaintenance(server, settings.dataCentre());
    loop.start();
    startedServices.complete(services);
    registerMetrics(metrics, state, steps);
  }

  private void registerMetrics(PrometheusRegistry metrics, ControlState state, StartSteps steps) {
    ControlMetrics.register(metrics, log, state);
    ProcessMetrics.register(metrics);
    steps.register(metrics);
  }

  private static LeaderClient newLeaderClient(
      ClusterSettings settings,
      ControlPeers peers,
      LeaderServices services,
      ScheduledExecutorService timer,
      CallTelemetry telemetry,
      CallIds callIds) {
    return new LeaderClient(
        peers,
        settings.peerAddress(),
        services::serve,
        timer,
        telemetry,
        ProcessResources::monotonicMillis,
        callIds);
  }

  private void handleSessionStarted(Dispatcher dispatcher, StartSteps steps) {
    steps.reach(StartSteps.Step.SESSION_STARTED);
    registry
        .reports()
        .forEach(report -> dispatcher.handleReport(report, ProcessResources.monotonicMillis()));
  }

  private static void recordLeader(ControlPeers.Leader leader, StartSteps steps) {
    if (!leader.instanceId().isEmpty()) {
      steps.reach(StartSteps.Step.LEADER_KNOWN);
    }
  }

  private ScheduledExecutorService newTimer() {
    ScheduledExecutorService timer =
        Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "calls"));
    closer.register(timer::shutdownNow);
    return timer;
  }

  private void startRegistryTasks(CacheFile file) {
    MinionRegistryStore store = new MinionRegistryStore(registry, file);
    closer.register(store::close);
    store.start();
    PeriodicTask confirmation =
        new PeriodicTask("confirmation", MinionRegistry.CONFIRM_INTERVAL_MILLIS, registry::confirm);
    closer.register(confirmation::close);
    confirmation.start();
  }

  private void startClusterMaintenance(PeerServer server, String dataCentre) {
    ClusterMaintenance keeper =
        new ClusterMaintenance(
            log,
            peers,
            server,
            voterPlanner,
            dataCentre,
            registry::handleLeaderChange,
            ProcessResources::monotonicMillis);
    closer.register(keeper::close);
    keeper.start();
  }

  private static ReplicaDriver<CommandResult> newReplica(
      String replicaId,
      ControlStateMachine stateMachine,
      ControlPeers peers,
      FileLogStorage storage,
      long folderLockedNanos,
      SecureRandom random) {
    return new ReplicaDriver<>(
        replicaId,
        stateMachine,
        peers,
        storage,
        System::nanoTime,
        folderLockedNanos,
        ReplicaOptions.fastFailover(),
        random,
        failure -> Runtime.getRuntime().halt(EXIT_REPLICA_FAILED));
  }

  private static FileLogStorage openStorage(
      ClusterSettings settings, Path dataFolder, FileOperations files, SecureRandom random)
      throws IOException {
    ReplicaFolder folder =
        new ReplicaFolder(files, dataFolder, settings.cluster(), settings.peerAddress());
    boolean initialise = settings.firstStart() && settings.seeds().contains(settings.peerAddress());
    List<String> firstInstances = initialise ? settings.seeds() : List.of();
    return new FolderOpener(folder, TimeUnit.MILLISECONDS::sleep).open(firstInstances, random);
  }

  private void listen(PeerServer server, String address) throws IOException {
    var unused =
        server
            .listen(InstanceIds.socketAddress(address))
            .getOrElseThrow(problem -> new IOException(problem.message()));
    closer.register(server::close);
  }

  private boolean hasEnoughVoters() {
    return log.status().voters().size() >= voterPlanner.targetVoters()
        || ProcessResources.monotonicMillis() - startedMillis > ENOUGH_VOTERS_TIMEOUT_MILLIS;
  }

  private void handleMessage(Hello from, Envelope message, Consumer<Envelope.Builder> reply) {
    switch (message.getPayloadCase()) {
      case REPLICATION -> log.receive(message.getReplication());
      case CONTROL_DIRECTORY -> {
        peers.connectTo(from.getInstanceId(), "its incoming connection");
        peers.merge(message.getControlDirectory(), from.getInstanceId());
      }
      default ->
          startedServices
              .thenCompose(services -> services.serve(message))
              .thenAccept(
                  result -> reply.accept(result.fold(this::failureMessage, response -> response)));
    }
  }

  /** Returns the first message to a new peer, which would otherwise wait for the next broadcast. */
  private Optional<Envelope> welcome(Hello peer) {
    peers.connectBack(peer);
    return Optional.of(Envelope.newBuilder().setControlDirectory(peers.directory()).build());
  }

  private Envelope.Builder failureMessage(Problem problem) {
    return Envelope.newBuilder()
        .setFailure(
            Failure.newBuilder()
                .setCode(problem.code())
                .setMessage(problem.message())
                .setLeaderHint(peers.leader().instanceId()));
  }

  /**
   * Returns the client for calls to the leader.
   *
   * @return the client, which calls the services of this process directly while it leads
   */
  public LeaderClient leaderClient() {
    return leaderClient;
  }

  /**
   * Returns what carries out orders of operators to data centres.
   *
   * @return the switcher
   */
  public DataCentreSwitcher dataCentreSwitcher() {
    return dataCentreSwitcher;
  }

  /**
   * Returns the registry that receives the reports of minions.
   *
   * @return the registry
   */
  public MinionRegistry registry() {
    return registry;
  }

  /**
   * Returns the connections to control daemons.
   *
   * @return the connections; the caller may add further seeds
   */
  public ControlPeers peers() {
    return peers;
  }

  /** Transfers leadership if this replica leads, and stops the daemon. */
  @Override
  public void close() throws IOException {
    if (log.status().role().equals("leader")) {
      CompletableFuture<Result<String>> transfer = log.transferLeadership();
      try {
        transfer.get(TRANSFER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (ExecutionException | TimeoutException e) {
        // The other replicas elect a leader after the election timeout.
      }
    }
    log.close();
    peers.close();
    closer.close();
  }

  /**
   * Combines the hosts of seeds with the port for peers.
   *
   * @param hosts hosts of the seeds
   * @param port port for peers, the same on all instances
   * @return the addresses
   */
  public static List<String> seedAddresses(List<String> hosts, int port) {
    return hosts.stream().map(host -> host + ':' + port).toList();
  }
}
