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
 * Runs a {@link ReplicaCore}: one thread steps it, one writes and syncs, one applies. Futures
 * complete on these threads, so what is chained to them must not block.
 *
 * @param <R> the type of a command's result
 */
public final class ReplicaDriver<R> implements ReplicatedLog<R> {

  private static final int MAX_BATCH = 1_024;
  private static final int MAX_WAITING_EVENTS = 20_000;
  private static final int MAX_COMMAND_BYTES = 2 << 20;
  private static final long TICK_MILLIS = 10;

  private final String replicaId;
  private final ReplicationTransport transport;
  private final LogStorage storage;
  private final LongSupplier clockNanos;
  private final ReplicaOptions options;
  private final RandomGenerator random;
  private final Consumer<Throwable> onFailure;
  private final PendingRequests<R> pending = new PendingRequests<>();
  private final Applier<R> applier;
  private final WorkerThread<ReplicaEvent> coreThread;
  private final WorkerThread<StorageWrite> storageThread;
  private final WorkerThread<Runnable> applyThread;
  private final AtomicBoolean failed = new AtomicBoolean();
  private final AtomicBoolean closed = new AtomicBoolean();
  private volatile boolean running;
  private final long folderLockedNanos;
  private volatile ReplicaView view;
  private ReplicaCore core;
  private long lastTickNanos;

  /**
   * Creates a replica that does not run yet.
   *
   * @param replicaId identifier from the folder's identity
   * @param machine the state machine
   * @param transport sends messages to the other replicas
   * @param storage the opened storage; closed with this object
   * @param clockNanos monotonic clock in nanoseconds
   * @param folderLockedNanos time on that clock since which the folder is locked
   * @param options limits and time-outs
   * @param random source of election timeouts
   * @param onFailure told once, on a new thread, when the replica has failed, for example because a
   *     sync failed; the process must end
   */
  public ReplicaDriver(
      String replicaId,
      StateMachine<R> machine,
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
            requireNonNull(machine, "machine is null"),
            options.snapshotIntervalEntries(),
            pending::applied,
            (data, index) -> coreEvent(new ReplicaEvent.SnapshotTaken(index, data)));
    this.coreThread = worker("core", MAX_BATCH, TICK_MILLIS, this::stepAll);
    this.storageThread = worker("storage", MAX_BATCH, 50, this::writeAll);
    this.applyThread = worker("apply", 1, 50, tasks -> tasks.forEach(Runnable::run));
    this.core = newCore(RecoveredState.empty());
    this.view = core.view();
  }

  /**
   * Reads the disk and starts the threads; called once.
   *
   * @throws IOException if the disk cannot be read or its contents are damaged
   */
  public void start() throws IOException {
    core = newCore(storage.load());
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
    if (!running || coreThread.size() > MAX_WAITING_EVENTS) {
      return CompletableFuture.completedFuture(
          Result.failure("unavailable", running ? "too many events wait" : "not running"));
    }
    long id = pending.nextId();
    CompletableFuture<Result<R>> future = pending.addProposal(id);
    coreEvent(new ReplicaEvent.Propose(List.of(new ReplicaEvent.Proposal(id, command))));
    return future;
  }

  @Override
  public CompletableFuture<Result<Long>> readBarrier() {
    long id = pending.nextId();
    CompletableFuture<Result<Long>> future = pending.addBarrier(id);
    coreEvent(new ReplicaEvent.ReadBarrier(id));
    return future;
  }

  @Override
  public CompletableFuture<Result<String>> transferLeadership() {
    long id = pending.nextId();
    CompletableFuture<Result<String>> future = pending.addChange(id);
    coreEvent(new ReplicaEvent.TransferLeadership(id));
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
              "expected INSTANCE/INCARNATION that differs from the old id, found " + newReplica));
    }
    long id = pending.nextId();
    CompletableFuture<Result<String>> future = pending.addChange(id);
    coreEvent(new ReplicaEvent.AddVoter(id, newReplica, replaces));
    return future;
  }

  @Override
  public CompletableFuture<Result<String>> removeReplica(String removed) {
    requireNonNull(removed, "removed is null");
    long id = pending.nextId();
    CompletableFuture<Result<String>> future = pending.addChange(id);
    coreEvent(new ReplicaEvent.RemoveReplica(id, removed));
    return future;
  }

  @Override
  public void receive(ReplicationMessage message) {
    requireNonNull(message, "message is null");
    if (!running) {
      return;
    }
    int waiting = coreThread.size();
    if (waiting > MAX_WAITING_EVENTS) {
      EventLogger.log(ReplicationEvent.MESSAGES_DROPPED, replicaId, waiting);
      return;
    }
    coreThread.put(new ReplicaEvent.Received(message));
  }

  @Override
  public Status status() {
    // The clock is read after the view, so that a pause in between can only make the lease older.
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

  private ReplicaCore newCore(RecoveredState recovered) {
    return new ReplicaCore(
        replicaId, options, random, recovered, folderLockedNanos, clockNanos.getAsLong());
  }

  private <T> WorkerThread<T> worker(
      String name, int maxBatch, long waitMillis, WorkerThread.Handler<T> handler) {
    return new WorkerThread<>(
        "replica-" + name + "-" + replicaId, maxBatch, waitMillis, handler, this::fail);
  }

  private void coreEvent(ReplicaEvent event) {
    coreThread.put(event);
    if (!running) {
      pending.stopped();
    }
  }

  // -- core thread

  private void stepAll(List<ReplicaEvent> events) {
    List<ReplicaEvent.Proposal> proposals = new ArrayList<>();
    for (ReplicaEvent event : events) {
      if (event instanceof ReplicaEvent.Propose propose) {
        // Proposals that arrived together share messages and a sync.
        proposals.addAll(propose.proposals());
      } else {
        step(event);
      }
    }
    if (!proposals.isEmpty()) {
      step(new ReplicaEvent.Propose(proposals));
    }
    if (clockNanos.getAsLong() - lastTickNanos >= TICK_MILLIS * 1_000_000) {
      lastTickNanos = clockNanos.getAsLong();
      step(new ReplicaEvent.Tick());
    }
  }

  private void step(ReplicaEvent event) {
    if (!running) {
      return;
    }
    boolean led = view.role() == ReplicaRole.LEADER;
    List<ReplicaAction> actions = core.step(event, clockNanos.getAsLong());
    // Published before anything is sent: the lease ends before another replica may learn of it.
    view = core.view();
    if (led && view.role() != ReplicaRole.LEADER) {
      pending.leadershipLost();
    }
    actions.forEach(this::perform);
  }

  private void perform(ReplicaAction action) {
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
      pending.accepted(accepted.requestId(), accepted.index(), accepted.term());
    } else if (action instanceof ReplicaAction.Rejected rejected) {
      pending.rejected(rejected.requestId(), rejected.problem());
    } else if (action instanceof ReplicaAction.ReadBarrierPassed passed) {
      applyThread.put(
          () ->
              applier.whenApplied(
                  passed.readIndex(),
                  () -> pending.barrierPassed(passed.requestId(), applier.appliedIndex())));
    } else if (action instanceof ReplicaAction.Completed completed) {
      pending.changed(completed.requestId(), completed.detail());
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

  private void writeAll(List<StorageWrite> writes) throws IOException {
    if (!writes.isEmpty() && running) {
      storage.write(writes);
      coreThread.put(new ReplicaEvent.Synced(writes.get(writes.size() - 1).sequence()));
    }
  }

  // -- end

  // A failed write or sync is never retried; whatever else fails here leaves the state in doubt.
  private void fail(Throwable cause) {
    running = false;
    if (failed.compareAndSet(false, true)) {
      EventLogger.log(ReplicationEvent.FAILED, cause, replicaId);
      coreThread.stop();
      storageThread.stop();
      applyThread.stop();
      pending.stopped();
      // On a thread of its own, so that it may close this object or end the process.
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
    pending.stopped();
  }
}
