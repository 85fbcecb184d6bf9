package org.hickoryspar.node.replication;

import static java.util.Objects.requireNonNull;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.hickoryspar.kernel.replication.LogStorage;
import org.hickoryspar.kernel.replication.RecoveredState;
import org.hickoryspar.kernel.replication.ReplicaAction;
import org.hickoryspar.kernel.replication.ReplicaCore;
import org.hickoryspar.kernel.replication.ReplicaEvent;
import org.hickoryspar.kernel.replication.ReplicaOptions;
import org.hickoryspar.kernel.replication.ReplicaRole;
import org.hickoryspar.kernel.replication.ReplicaView;
import org.hickoryspar.kernel.replication.StorageWrite;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.control.ReplicatedLog;
import org.hickoryspar.node.control.ReplicationTransport;
import org.hickoryspar.node.control.StateMachine;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.protocol.ReplicationMessage;

/**
 * Runs a {@link ReplicaCore} on three threads: one steps the core, one writes and syncs, and one
 * applies committed entries. Futures complete on these threads, so dependent stages must not block.
 *
 * @param <R> the type of a command's result
 */
public final class ReplicaDriver<R> implements ReplicatedLog<R> {

  private static final int MAX_BATCH_ITEMS = 1_024;
  private static final int MAX_QUEUED_EVENTS = 20_000;
  private static final long MAX_QUEUED_BYTES = 16L << 20;
  private static final int MAX_COMMAND_BYTES = 2 << 20;
  private static final long TICK_INTERVAL_MILLIS = 10;

  private final String replicaId;
  private final ReplicationTransport transport;
  private final LogStorage storage;
  private final LongSupplier clockNanos;
  private final ReplicaOptions options;
  private final RandomGenerator random;
  private final Consumer<Throwable> onFailure;
  private final PendingRequests<R> pendingRequests = new PendingRequests<>();
  private final Applier<R> applier;
  private final WorkerThread<ReplicaEvent> coreThread;
  private final WorkerThread<StorageWrite> storageThread;
  private final WorkerThread<Runnable> applyThread;
  private final AtomicBoolean failed = new AtomicBoolean();
  private final AtomicBoolean closed = new AtomicBoolean();
  private final AtomicLong queuedBytes = new AtomicLong();
  private volatile boolean running;
  private final long folderLockedNanos;
  private volatile ReplicaView view;
  private ReplicaCore core;
  private long lastTickNanos;

  /**
   * Creates a replica without starting it.
   *
   * @param replicaId identifier of the replica, as stored in its data folder
   * @param stateMachine the state machine
   * @param transport sends messages to the other replicas
   * @param storage the opened storage, which {@link #close} closes
   * @param clockNanos monotonic clock in nanoseconds
   * @param folderLockedNanos time on this clock since which the data folder has been locked
   * @param options limits and timeouts
   * @param random source of election timeouts
   * @param onFailure called once, on a new thread, after the replica has failed, for example
   *     because a sync failed; the process must then be ended
   */
  public ReplicaDriver(
      String replicaId,
      StateMachine<R> stateMachine,
      ReplicationTransport transport,
      LogStorage storage,
      LongSupplier clockNanos,
      long folderLockedNanos,
      ReplicaOptions options,
      RandomGenerator random,
      Consumer<Throwable> onFailure) {
    this.replicaId = requireNonNull(replicaId, "replicaId is null");
    this.transport = requireNonNull(transport, "transport is null");
    this.storage = requireNonNull(storage, "storage is null");
    this.clockNanos = requireNonNull(clockNanos, "clockNanos is null");
    this.folderLockedNanos = folderLockedNanos;
    this.options = requireNonNull(options, "options is null");
    this.random = requireNonNull(random, "random is null");
    this.onFailure = requireNonNull(onFailure, "onFailure is null");
    this.applier =
        new Applier<>(
            requireNonNull(stateMachine, "stateMachine is null"),
            options.snapshotIntervalEntries(),
            options.snapshotIntervalBytes(),
            pendingRequests::handleApplied,
            (data, index) -> enqueue(new ReplicaEvent.SnapshotTaken(index, data)));
    this.coreThread = createWorker("core", MAX_BATCH_ITEMS, TICK_INTERVAL_MILLIS, this::stepBatch);
    this.storageThread = createWorker("storage", MAX_BATCH_ITEMS, 50, this::writeBatch);
    this.applyThread = createWorker("apply", 1, 50, tasks -> tasks.forEach(Runnable::run));
    this.core = createCore(RecoveredState.empty());
    this.view = core.view();
  }

  /**
   * Loads the stored state and starts the threads; must be called only once.
   *
   * @throws IOException if the disk cannot be read or its contents are damaged
   */
  public void start() throws IOException {
    core = createCore(storage.load());
    lastTickNanos = clockNanos.getAsLong();
    view = core.view();
    running = true;
    EventLogger.log(ReplicationEvent.STARTED, replicaId);
    applyThread.start();
    storageThread.start();
    coreThread.start();
  }

  @Override
  public CompletableFuture<Result<R>> propose(ByteString command) {
    requireNonNull(command, "command is null");
    if (command.size() > MAX_COMMAND_BYTES) {
      return CompletableFuture.completedFuture(
          Result.failure(
              "unavailable",
              "expected a command of at most "
                  + MAX_COMMAND_BYTES
                  + " bytes, found "
                  + command.size()));
    }
    if (!running || isQueueFull(command.size())) {
      return CompletableFuture.completedFuture(
          Result.failure(
              "unavailable", running ? "too many queued events" : "the replica is not running"));
    }
    long id = pendingRequests.nextId();
    CompletableFuture<Result<R>> future = pendingRequests.addProposal(id);
    queuedBytes.addAndGet(command.size());
    enqueue(new ReplicaEvent.Propose(List.of(new ReplicaEvent.Proposal(id, command))));
    return future;
  }

  @Override
  public CompletableFuture<Result<Long>> readBarrier() {
    long id = pendingRequests.nextId();
    CompletableFuture<Result<Long>> future = pendingRequests.addReadBarrier(id);
    enqueue(new ReplicaEvent.ReadBarrier(id));
    return future;
  }

  @Override
  public CompletableFuture<Result<String>> transferLeadership() {
    long id = pendingRequests.nextId();
    CompletableFuture<Result<String>> future = pendingRequests.addChange(id);
    enqueue(new ReplicaEvent.TransferLeadership(id));
    return future;
  }

  @Override
  public CompletableFuture<Result<String>> addVoter(String newReplica, Optional<String> replaces) {
    requireNonNull(newReplica, "newReplica is null");
    requireNonNull(replaces, "replaces is null");
    if (newReplica.indexOf('/') < 1 || replaces.equals(Optional.of(newReplica))) {
      return CompletableFuture.completedFuture(
          Result.failure(
              "bad-replica-id",
              "expected INSTANCE/INCARNATION that differs from the replaced id, found "
                  + newReplica));
    }
    long id = pendingRequests.nextId();
    CompletableFuture<Result<String>> future = pendingRequests.addChange(id);
    enqueue(new ReplicaEvent.AddVoter(id, newReplica, replaces));
    return future;
  }

  @Override
  public CompletableFuture<Result<String>> removeReplica(String removed) {
    requireNonNull(removed, "removed is null");
    long id = pendingRequests.nextId();
    CompletableFuture<Result<String>> future = pendingRequests.addChange(id);
    enqueue(new ReplicaEvent.RemoveReplica(id, removed));
    return future;
  }

  @Override
  public void receive(ReplicationMessage message) {
    requireNonNull(message, "message is null");
    if (!running) {
      return;
    }
    if (isQueueFull(message.getSerializedSize())) {
      EventLogger.log(
          ReplicationEvent.MESSAGES_DROPPED, replicaId, coreThread.size(), queuedBytes.get());
      return;
    }
    queuedBytes.addAndGet(message.getSerializedSize());
    coreThread.put(new ReplicaEvent.Received(message));
  }

  private boolean isQueueFull(int addedBytes) {
    return coreThread.size() > MAX_QUEUED_EVENTS
        || queuedBytes.get() + addedBytes > MAX_QUEUED_BYTES;
  }

  @Override
  public Status status() {
    // Reads the clock after the view, so that a pause in between cannot prolong the lease.
    ReplicaView current = view;
    long applied = applier.appliedIndex();
    boolean holdsLease = running && current.holdsLease(clockNanos.getAsLong(), applied);
    return new Status(
        replicaId,
        current.role().name().toLowerCase(Locale.ROOT),
        current.term(),
        current.leaderId(),
        holdsLease,
        current.commitIndex(),
        current.logBytes(),
        applied,
        current.voters(),
        current.learners(),
        current.matchIndexes());
  }

  @Override
  public void close() {
    stopThreads();
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    try {
      storage.close();
    } catch (IOException e) {
      EventLogger.log(ReplicationEvent.CLOSE_FAILED, e, replicaId);
    }
  }

  private ReplicaCore createCore(RecoveredState recovered) {
    return new ReplicaCore(
        replicaId, options, random, recovered, folderLockedNanos, clockNanos.getAsLong());
  }

  private <T> WorkerThread<T> createWorker(
      String name, int maxBatch, long pollTimeoutMillis, WorkerThread.Handler<T> handler) {
    return new WorkerThread<>(
        "replica-" + name + "-" + replicaId,
        maxBatch,
        pollTimeoutMillis,
        handler,
        this::handleFailure);
  }

  private void enqueue(ReplicaEvent event) {
    coreThread.put(event);
    if (!running) {
      pendingRequests.failAll();
    }
  }

  // -- core thread

  private void stepBatch(List<ReplicaEvent> events) {
    List<ReplicaEvent.Proposal> proposals = new ArrayList<>();
    for (ReplicaEvent event : events) {
      if (event instanceof ReplicaEvent.Propose propose) {
        // The proposals of a batch share append requests and a sync.
        proposals.addAll(propose.proposals());
      } else {
        step(event);
      }
      queuedBytes.addAndGet(-queuedBytesOf(event));
    }
    if (!proposals.isEmpty()) {
      step(new ReplicaEvent.Propose(proposals));
    }
    if (clockNanos.getAsLong() - lastTickNanos >= TICK_INTERVAL_MILLIS * 1_000_000) {
      lastTickNanos = clockNanos.getAsLong();
      step(new ReplicaEvent.Tick());
    }
  }

  private static long queuedBytesOf(ReplicaEvent event) {
    if (event instanceof ReplicaEvent.Received received) {
      return received.message().getSerializedSize();
    }
    if (event instanceof ReplicaEvent.Propose propose) {
      return propose.proposals().stream().mapToLong(proposal -> proposal.command().size()).sum();
    }
    return 0;
  }

  private void step(ReplicaEvent event) {
    if (!running) {
      return;
    }
    boolean wasLeader = view.role() == ReplicaRole.LEADER;
    List<ReplicaAction> actions = core.step(event, clockNanos.getAsLong());
    // Publishes the view before any message is sent, so that status() reports the end of the lease
    // before another replica can learn of it.
    view = core.view();
    if (wasLeader && view.role() != ReplicaRole.LEADER) {
      pendingRequests.failAcceptedProposals();
    }
    actions.forEach(this::execute);
  }

  private void execute(ReplicaAction action) {
    if (action instanceof ReplicaAction.Write write) {
      storageThread.put(write.write());
    } else if (action instanceof ReplicaAction.Send send) {
      transport.send(send.message());
    } else if (action instanceof ReplicaAction.Apply apply) {
      applyThread.put(() -> applier.apply(apply));
    } else if (action instanceof ReplicaAction.Restore restore) {
      applyThread.put(
          () -> {
            applier.restore(restore.snapshot());
            EventLogger.log(
                ReplicationEvent.RESTORED,
                replicaId,
                restore.snapshot().lastIndex(),
                restore.snapshot().data().size());
          });
    } else if (action instanceof ReplicaAction.Accepted accepted) {
      pendingRequests.handleAccepted(accepted.requestId(), accepted.index(), accepted.term());
    } else if (action instanceof ReplicaAction.Rejected rejected) {
      pendingRequests.handleRejected(rejected.requestId(), rejected.problem());
    } else if (action instanceof ReplicaAction.ReadBarrierPassed passed) {
      applyThread.put(
          () ->
              applier.runWhenApplied(
                  passed.readIndex(),
                  () ->
                      pendingRequests.handleReadBarrierPassed(
                          passed.requestId(), applier.appliedIndex())));
    } else if (action instanceof ReplicaAction.Completed completed) {
      pendingRequests.handleChangeCompleted(completed.requestId(), completed.detail());
    } else if (action instanceof ReplicaAction.RoleChanged changed) {
      EventLogger.log(
          ReplicationEvent.ROLE_CHANGED,
          replicaId,
          changed.view().role(),
          changed.view().term(),
          changed.view().leaderId().orElse("unknown"));
    }
  }

  // -- storage thread

  private void writeBatch(List<StorageWrite> writes) throws IOException {
    if (!writes.isEmpty() && running) {
      storage.write(writes);
      coreThread.put(new ReplicaEvent.Synced(writes.get(writes.size() - 1).sequence()));
    }
  }

  // -- failure and shutdown

  // A failed write or sync must not be retried, and after any other failure the state is unknown.
  private void handleFailure(Throwable cause) {
    running = false;
    if (failed.compareAndSet(false, true)) {
      EventLogger.log(ReplicationEvent.FAILED, cause, replicaId);
      coreThread.stop();
      storageThread.stop();
      applyThread.stop();
      pendingRequests.failAll();
      // Uses a separate thread, so that the callback can close this object or end the process.
      Thread reporter = new Thread(() -> onFailure.accept(cause), "replica-failure-" + replicaId);
      reporter.setDaemon(true);
      reporter.start();
    }
  }

  private void stopThreads() {
    running = false;
    coreThread.stop();
    coreThread.join();
    storageThread.stop();
    storageThread.join();
    applyThread.stop();
    applyThread.join();
    pendingRequests.failAll();
  }
}
