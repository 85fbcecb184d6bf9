package org.hickoryspar.node.daemon;

import static java.util.Objects.requireNonNull;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.io.Closer;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.ServiceLoader;
import java.util.UUID;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.util.component.LifeCycle;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.control.ControlState;
import org.hickoryspar.kernel.replication.ReplicaOptions;
import org.hickoryspar.kernel.scheduling.SchedulerFactory;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.control.AdminServer;
import org.hickoryspar.node.control.ControlDaemon;
import org.hickoryspar.node.control.ControlMetrics;
import org.hickoryspar.node.control.ControlServices;
import org.hickoryspar.node.control.ControlStateMachine;
import org.hickoryspar.node.control.Proposer;
import org.hickoryspar.node.control.ReplicatedLog;
import org.hickoryspar.node.control.SchedulingLoop;
import org.hickoryspar.node.observability.ProcessMetrics;
import org.hickoryspar.node.platform.HttpPlatform;
import org.hickoryspar.node.replication.ReplicaDriver;
import org.hickoryspar.node.settings.Settings;
import org.hickoryspar.node.storage.FileLogStorage;
import org.hickoryspar.node.storage.ReplicaFolder;
import org.hickoryspar.node.storage.SystemFileOperations;
import org.hickoryspar.node.transport.PeerServer;

/** Assembles a control daemon of a cluster whose settings list the instances. */
final class ControlAssembly implements AutoCloseable {

  private static final String DEFAULT_SCHEDULER = "guarantee";
  private static final int EXIT_REPLICA_FAILED = 70;
  private static final long PLATFORM_TIMEOUT_MILLIS = 1_000;

  private final Closer closer = Closer.create();
  private final ControlDaemon daemon;

  private ControlAssembly(Settings settings, boolean initialise) throws IOException {
    Settings.ControlSettings control =
        requireNonNull(settings.control(), "the settings have no control section");
    ProcessResources process = closer.register(new ProcessResources(settings));
    ControlState state = new ControlState();
    ControlStateMachine stateMachine = new ControlStateMachine(state);
    ControlDaemon.Connections connections =
        new ControlDaemon.Connections(settings, process.identity(), process.eventLoops());
    ReplicatedLog<CommandResult> log =
        startReplica(settings, control, stateMachine, connections, initialise);
    Proposer proposer = new Proposer(log, System::currentTimeMillis);
    SchedulingLoop schedulingLoop =
        new SchedulingLoop(
            state,
            proposer,
            new HttpPlatform(
                startClient(),
                new ObjectMapper(),
                "http://" + control.platformAddress(),
                PLATFORM_TIMEOUT_MILLIS),
            findScheduler(control.scheduler() == null ? DEFAULT_SCHEDULER : control.scheduler()),
            ProcessResources::monotonicMillis);
    stateMachine.addListener((command, result) -> schedulingLoop.handleApplied(command));
    ControlServices services =
        new ControlServices(
            settings,
            state,
            log,
            proposer,
            schedulingLoop,
            new ObjectMapper(),
            ProcessResources::monotonicMillis,
            () -> UUID.randomUUID().toString());
    stateMachine.addListener((command, result) -> services.handleApplied(command));
    PrometheusRegistry registry = new PrometheusRegistry();
    ProcessMetrics.register(registry);
    ControlMetrics.register(registry, log, state);
    daemon =
        new ControlDaemon(
            settings,
            log,
            schedulingLoop,
            new PeerServer(process.identity(), process.eventLoops(), services.handler()),
            new AdminServer(
                Settings.socketAddress(control.httpAddress()),
                registry,
                () -> log.status().leaderId().isPresent()),
            connections);
    daemon.start();
  }

  private static ReplicatedLog<CommandResult> startReplica(
      Settings settings,
      Settings.ControlSettings control,
      ControlStateMachine stateMachine,
      ControlDaemon.Connections connections,
      boolean initialise)
      throws IOException {
    ReplicaFolder folder =
        new ReplicaFolder(
            new SystemFileOperations(),
            Path.of(control.dataFolder()),
            settings.cluster(),
            settings.instanceId());
    if (initialise) {
      List<String> voters =
          settings.instances().stream()
              .filter(instance -> instance.controlPeerAddress() != null)
              .map(Settings.InstanceSettings::id)
              .toList();
      getOrThrow(folder.initialise(voters));
    }
    SecureRandom random = new SecureRandom();
    FileLogStorage storage = getOrThrow(folder.open(random));
    long folderLockedNanos = System.nanoTime();
    ReplicaDriver<CommandResult> replica =
        new ReplicaDriver<>(
            storage.identity().replicaId(),
            stateMachine,
            connections,
            storage,
            System::nanoTime,
            folderLockedNanos,
            ReplicaOptions.defaults(),
            random,
            failure -> Runtime.getRuntime().halt(EXIT_REPLICA_FAILED));
    replica.start();
    return replica;
  }

  private static <T> T getOrThrow(Result<T> result) throws IOException {
    return result.getOrElseThrow(problem -> new IOException(problem.message()));
  }

  private HttpClient startClient() throws IOException {
    HttpClient client = new HttpClient();
    try {
      client.start();
    } catch (Exception e) {
      throw new IOException("cannot start the HTTP client", e);
    }
    closer.register(() -> LifeCycle.stop(client));
    return client;
  }

  private static SchedulerFactory findScheduler(String name) {
    for (SchedulerFactory factory : ServiceLoader.load(SchedulerFactory.class)) {
      if (factory.name().equals(name)) {
        return factory;
      }
    }
    throw new IllegalArgumentException("no scheduler is registered as \"" + name + "\"");
  }

  static ControlAssembly start(Settings settings, boolean initialise) throws IOException {
    return new ControlAssembly(settings, initialise);
  }

  @Override
  public void close() throws IOException {
    daemon.close();
    closer.close();
  }
}
