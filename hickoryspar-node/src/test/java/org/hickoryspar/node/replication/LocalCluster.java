package org.hickoryspar.node.replication;

import static org.awaitility.Awaitility.await;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import org.hickoryspar.kernel.replication.ReplicaOptions;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.control.ReplicatedLog.Status;
import org.hickoryspar.node.control.StateMachine;
import org.hickoryspar.node.storage.FileLogStorage;
import org.hickoryspar.node.storage.FileOperations;
import org.hickoryspar.node.storage.ReplicaFolder;
import org.hickoryspar.node.storage.SystemFileOperations;
import org.hickoryspar.protocol.ReplicationMessage;

/** Replicas in one process, with real files and a simulated network that can be partitioned. */
final class LocalCluster implements AutoCloseable {

  /** Timeouts for a machine that runs other builds, on which shorter leases expire occasionally. */
  static final ReplicaOptions OPTIONS =
      new ReplicaOptions(
          500, 1_000, 40, 500, 10, 512, 512 << 10, 16, 256 << 10, 200, 1 << 20, 100, 1 << 20,
          1 << 20, 64, 10_000);

  private final Path root;
  private final List<String> instances;
  private final Map<String, LocalReplica> replicas = new ConcurrentHashMap<>();
  private final Set<String> droppedLinks = ConcurrentHashMap.newKeySet();

  LocalCluster(Path root, List<String> instances) {
    this.root = root;
    this.instances = instances;
  }

  void initialise() {
    for (String instance : instances) {
      Result<?> result = folder(instance, new SystemFileOperations()).initialise(instances);
      result.fold(
          problem -> {
            throw new IllegalStateException(problem.toString());
          },
          identity -> identity);
    }
  }

  LocalReplica start(String instance) throws IOException {
    return start(instance, new SystemFileOperations());
  }

  LocalReplica start(String instance, FileOperations files) throws IOException {
    FileLogStorage storage =
        folder(instance, files)
            .open(new SecureRandom())
            .fold(
                problem -> {
                  throw new IllegalStateException(problem.toString());
                },
                opened -> opened);
    LocalReplica replica = new LocalReplica(instance, storage);
    replicas.put(instance, replica);
    replica.driver.start();
    return replica;
  }

  void startAll() throws IOException {
    for (String instance : instances) {
      start(instance);
    }
  }

  LocalReplica replica(String instance) {
    return replicas.get(instance);
  }

  LocalReplica awaitLeader() {
    return await()
        .until(
            () ->
                replicas.values().stream()
                    .filter(replica -> replica.status().holdsLease())
                    .findFirst()
                    .orElse(null),
            found -> found != null);
  }

  List<LocalReplica> others(LocalReplica replica) {
    return replicas.values().stream().filter(other -> other != replica).toList();
  }

  void stop(LocalReplica replica) {
    replicas.remove(replica.instance);
    replica.driver.close();
  }

  /** Drops all messages from one replica to another. */
  void dropMessages(LocalReplica from, LocalReplica to) {
    droppedLinks.add(from.instance + ">" + to.instance);
  }

  void heal() {
    droppedLinks.clear();
  }

  Path path(String instance) {
    return root.resolve(instance);
  }

  ReplicaFolder folder(String instance, FileOperations files) {
    return new ReplicaFolder(files, path(instance), "test", instance);
  }

  @Override
  public void close() {
    replicas.values().forEach(replica -> replica.driver.close());
  }

  /** A replica with its driver and its state machine. */
  final class LocalReplica {

    final String instance;
    final String replicaId;
    final SumStateMachine stateMachine = new SumStateMachine();
    final List<Throwable> failures = new CopyOnWriteArrayList<>();
    final AtomicLong clockOffsetNanos = new AtomicLong();
    final ReplicaDriver<Long> driver;

    LocalReplica(String instance, FileLogStorage storage) {
      this.instance = instance;
      this.replicaId = storage.identity().replicaId();
      this.driver =
          new ReplicaDriver<>(
              replicaId,
              stateMachine,
              this::send,
              storage,
              () -> System.nanoTime() + clockOffsetNanos.get(),
              System.nanoTime() + clockOffsetNanos.get(),
              OPTIONS,
              new SecureRandom(),
              failures::add);
    }

    Status status() {
      return driver.status();
    }

    Result<Long> add(long amount) {
      return add(ByteString.copyFromUtf8(Long.toString(amount)));
    }

    Result<Long> add(ByteString amount) {
      return driver.propose(amount).join();
    }

    private void send(ReplicationMessage message) {
      String to = message.getToReplica().substring(0, message.getToReplica().indexOf('/'));
      LocalReplica target = replicas.get(to);
      if (target != null && !droppedLinks.contains(instance + ">" + to)) {
        target.driver.receive(message);
      }
    }
  }

  /** Adds up numbers. The sum and the number of commands reveal a lost or repeated command. */
  static final class SumStateMachine implements StateMachine<Long> {

    final AtomicLong sum = new AtomicLong();
    final Map<Long, String> appliedCommands = new TreeMap<>();

    @Override
    public Long apply(long index, ByteString command) {
      appliedCommands.put(index, command.toStringUtf8());
      return sum.addAndGet(Long.parseLong(command.toStringUtf8()));
    }

    @Override
    public ByteString snapshot() {
      return ByteString.copyFromUtf8(sum.toString());
    }

    @Override
    public void restore(ByteString snapshot) {
      sum.set(Long.parseLong(snapshot.toStringUtf8()));
    }
  }
}
