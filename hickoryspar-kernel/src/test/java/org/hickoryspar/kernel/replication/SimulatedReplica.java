package org.hickoryspar.kernel.replication;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.hickoryspar.protocol.LogEntry;

/** An instance with its clock, its disk and, while it runs, the process of its replica. */
final class SimulatedReplica {

  final String instance;
  private final SimulatedCluster cluster;
  private final SafetyChecker safetyChecker;
  private final SplittableRandom random;
  private final double clockRate;
  private final long clockOffsetNanos;
  String replicaId;
  SimulatedDisk disk;
  ReplicaCore core;
  long processGeneration;
  long pausedUntilNanos;
  long appliedIndex;
  private long stateHash;
  private long snapshotIndex;
  private long bytesSinceSnapshot;
  private long lastSyncEndNanos;
  private final Map<Long, Long> acceptedTermByIndex = new HashMap<>();
  private final Deque<ReplicaAction> pendingApplies = new ArrayDeque<>();
  private final Map<Long, Long> observedIndexByBarrier = new HashMap<>();
  private final List<ReplicaAction.ReadBarrierPassed> passedBarriers = new ArrayList<>();

  SimulatedReplica(
      String instance,
      SimulatedCluster cluster,
      SafetyChecker safetyChecker,
      SplittableRandom random) {
    this.instance = instance;
    this.cluster = cluster;
    this.safetyChecker = safetyChecker;
    this.random = random;
    // The clock rates differ by about 8%, less than the margin of 10% for clock drift.
    this.clockRate = random.nextBoolean() ? 0.96 : 1.04;
    this.clockOffsetNanos = random.nextLong(1L << 40);
  }

  long clockNanos() {
    return clockOffsetNanos + (long) (cluster.nowNanos() * clockRate);
  }

  boolean isRunning() {
    return core != null;
  }

  boolean isPaused() {
    return pausedUntilNanos > cluster.nowNanos();
  }

  boolean isLeader() {
    return isRunning() && core.view().role() == ReplicaRole.LEADER;
  }

  boolean holdsLease() {
    return isRunning() && !isPaused() && core.view().holdsLease(clockNanos(), appliedIndex);
  }

  void start() {
    processGeneration++;
    appliedIndex = 0;
    stateHash = 0;
    snapshotIndex = 0;
    bytesSinceSnapshot = 0;
    pausedUntilNanos = 0;
    core =
        new ReplicaCore(
            replicaId, cluster.options(), random, disk.recover(), clockNanos(), clockNanos());
    step(new ReplicaEvent.Tick());
    cluster.schedule(this, random.nextLong(10_000_000), this::tick);
  }

  void kill() {
    core = null;
    processGeneration++;
    disk.crash(random);
    acceptedTermByIndex.clear();
    pendingApplies.clear();
    observedIndexByBarrier.clear();
    passedBarriers.clear();
  }

  void step(ReplicaEvent event) {
    if (event instanceof ReplicaEvent.ReadBarrier barrier) {
      observedIndexByBarrier.put(barrier.requestId(), safetyChecker.observedIndex());
    }
    List<ReplicaAction> actions = core.step(event, clockNanos());
    if (core.view().role() == ReplicaRole.LEADER) {
      safetyChecker.recordLeader(core.view().term(), replicaId);
    } else {
      acceptedTermByIndex.clear();
    }
    actions.forEach(this::execute);
  }

  void leaseRead() {
    if (holdsLease()) {
      safetyChecker.checkLeaseRead(replicaId, appliedIndex);
    }
  }

  private void tick() {
    step(new ReplicaEvent.Tick());
    cluster.schedule(this, 8_000_000 + random.nextLong(4_000_000), this::tick);
  }

  private void execute(ReplicaAction action) {
    if (action instanceof ReplicaAction.Write write) {
      disk.write(write.write());
      long sequence = write.write().sequence();
      long maxDelayNanos = random.nextInt(10) == 0 ? 60_000_000 : 3_000_000;
      lastSyncEndNanos =
          Math.max(lastSyncEndNanos, cluster.nowNanos()) + random.nextLong(maxDelayNanos);
      cluster.schedule(
          this,
          lastSyncEndNanos - cluster.nowNanos(),
          () -> {
            disk.sync(sequence);
            step(new ReplicaEvent.Synced(sequence));
          });
    } else if (action instanceof ReplicaAction.Send send) {
      cluster.send(this, send.message());
    } else if (action instanceof ReplicaAction.Apply || action instanceof ReplicaAction.Restore) {
      pendingApplies.add(action);
      cluster.schedule(this, random.nextLong(3_000_000), this::applyNext);
    } else if (action instanceof ReplicaAction.Accepted accepted) {
      acceptedTermByIndex.put(accepted.index(), accepted.term());
    } else if (action instanceof ReplicaAction.ReadBarrierPassed passed) {
      passedBarriers.add(passed);
      completeReads();
    } else if (action instanceof ReplicaAction.Completed completed) {
      cluster.onChangeCompleted(completed.requestId());
    } else if (action instanceof ReplicaAction.Rejected rejected) {
      cluster.onRejected(rejected.requestId());
      cluster.log(
          replicaId + " rejects request " + rejected.requestId() + ": " + rejected.problem());
    } else if (action instanceof ReplicaAction.RoleChanged changed) {
      cluster.log(changed.view().toString());
    }
  }

  private void applyNext() {
    ReplicaAction action = pendingApplies.removeFirst();
    if (action instanceof ReplicaAction.Restore restore) {
      appliedIndex = restore.snapshot().lastIndex();
      stateHash = restore.snapshot().data().asReadOnlyByteBuffer().getLong();
      snapshotIndex = appliedIndex;
      bytesSinceSnapshot = 0;
      safetyChecker.checkState(appliedIndex, stateHash);
    } else if (action instanceof ReplicaAction.Apply apply) {
      apply.entries().forEach(entry -> apply(entry.read()));
    }
    completeReads();
    if (appliedIndex - snapshotIndex >= cluster.options().snapshotIntervalEntries()
        || bytesSinceSnapshot >= cluster.options().snapshotIntervalBytes()) {
      snapshotIndex = appliedIndex;
      bytesSinceSnapshot = 0;
      ByteBuffer data = ByteBuffer.allocate(64).putLong(0, stateHash);
      long index = appliedIndex;
      cluster.schedule(
          this,
          random.nextLong(20_000_000),
          () -> step(new ReplicaEvent.SnapshotTaken(index, ByteString.copyFrom(data))));
    }
  }

  private void apply(LogEntry entry) {
    SafetyChecker.check(
        entry.getIndex() == appliedIndex + 1, "an entry was applied twice or skipped");
    appliedIndex++;
    bytesSinceSnapshot += entry.getSerializedSize();
    stateHash = entry.hasCommand() ? 31 * stateHash + entry.getCommand().hashCode() : stateHash;
    SafetyChecker.check(
        safetyChecker.recordApplied(entry) == stateHash, "wrong state after " + appliedIndex);
    Long term = acceptedTermByIndex.remove(appliedIndex);
    if (term != null && term == entry.getTerm()) {
      safetyChecker.recordObserved(appliedIndex);
    }
  }

  private void completeReads() {
    for (ReplicaAction.ReadBarrierPassed passed : List.copyOf(passedBarriers)) {
      if (appliedIndex >= passed.readIndex()) {
        passedBarriers.remove(passed);
        safetyChecker.checkBarrierRead(
            appliedIndex, observedIndexByBarrier.remove(passed.requestId()));
      }
    }
  }
}
