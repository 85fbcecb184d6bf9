package org.hickoryspar.kernel.replication;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.hickoryspar.protocol.LogEntry;
import org.hickoryspar.protocol.Membership;
import org.hickoryspar.protocol.ReplicationMessage;

/** Runs a cluster of replicas under a random schedule of faults that depends only on the seed. */
final class Simulation implements SimulatedCluster {

  /**
   * The timeouts are short in proportion to the delays of messages and syncs, which makes elections
   * frequent. The lease is as long as the shortest election timeout, so that its safety relies on
   * the margin for clock drift alone.
   */
  private static final ReplicaOptions OPTIONS =
      new ReplicaOptions(
          200, 400, 30, 200, 10, 8, 1 << 10, 4, 16, 20, 1 << 10, 5, 1 << 10, 4 << 10, 8, 2_000);

  private static final long NANOS_PER_MILLI = EventQueue.NANOS_PER_MILLI;
  private static final int LARGE_COMMAND_BYTES = 400;

  private final SplittableRandom random;
  private final boolean trace;
  private final SafetyChecker safetyChecker = new SafetyChecker();
  private final EventQueue eventQueue = new EventQueue();
  private final List<SimulatedReplica> replicas = new ArrayList<>();
  private final Set<String> blockedLinks = new HashSet<>();
  private long lastRequestId;
  private double lossRate;
  private long maxDelayMillis = 4;
  private boolean faultsEnabled = true;

  // State of the pending replacement of a replica by operators; there is at most one.
  private SimulatedReplica replacedReplica;
  private String replacedId = "";
  private boolean removalRequested;
  private final Set<Long> replacementRequestIds = new HashSet<>();

  Simulation(long seed, boolean trace) {
    this.random = new SplittableRandom(seed);
    this.trace = trace;
    int size = random.nextInt(4) == 0 ? 5 : 3;
    Membership.Builder voters = Membership.newBuilder();
    for (int i = 0; i < size; i++) {
      voters.addVoters("i" + i + "/1");
    }
    LogEntry first = LogEntry.newBuilder().setIndex(1).setTerm(1).setMembership(voters).build();
    for (int i = 0; i < size; i++) {
      SimulatedReplica replica = new SimulatedReplica("i" + i, this, safetyChecker, random.split());
      replica.replicaId = replica.instance + "/1";
      replica.disk = new SimulatedDisk(new HardState(1, ""), List.of(first));
      replicas.add(replica);
    }
  }

  @Override
  public ReplicaOptions options() {
    return OPTIONS;
  }

  @Override
  public long nowNanos() {
    return eventQueue.nowNanos();
  }

  SafetyChecker safetyChecker() {
    return safetyChecker;
  }

  /** Injects faults for a time, then ends all of them and checks that the replicas converge. */
  void run(long faultMillis) {
    replicas.forEach(SimulatedReplica::start);
    scheduleRepeating(8, this::runClients);
    scheduleRepeating(120, this::injectFault);
    scheduleRepeating(150, this::runOperator);
    runUntil(faultMillis * NANOS_PER_MILLI, false);
    heal();
    runUntil(nowNanos() + 20_000 * NANOS_PER_MILLI, true);
    SafetyChecker.check(hasConverged(), "replicas have not converged 20 s after the last fault");
  }

  @Override
  public void schedule(SimulatedReplica replica, long delayNanos, Runnable action) {
    eventQueue.scheduleInProcess(replica, delayNanos, action);
  }

  @Override
  public void send(SimulatedReplica from, ReplicationMessage message) {
    String to = message.getToReplica();
    String instance = to.substring(0, to.indexOf('/'));
    if (blockedLinks.contains(from.instance + ">" + instance) || random.nextDouble() < lossRate) {
      return;
    }
    SimulatedReplica target =
        replicas.stream().filter(r -> r.instance.equals(instance)).findFirst().orElseThrow();
    int copies = faultsEnabled && random.nextInt(50) == 0 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long boundMillis = random.nextInt(100) == 0 ? 50 * maxDelayMillis : maxDelayMillis;
      long delayNanos = random.nextLong(boundMillis * NANOS_PER_MILLI);
      eventQueue.scheduleAt(target, delayNanos, () -> deliver(target, message));
    }
  }

  @Override
  public void onChangeCompleted(long requestId) {
    if (replacementRequestIds.contains(requestId) && replacedReplica != null) {
      replacementRequestIds.clear();
      log("replaced " + replacedId + " by " + replacedReplica.replicaId);
      if (removalRequested) {
        removalRequested = false;
        restartWithEmptyDisk(replacedReplica);
      } else {
        replacedReplica = null;
      }
    }
  }

  private void deliver(SimulatedReplica target, ReplicationMessage message) {
    if (target.isRunning()) {
      target.step(new ReplicaEvent.Received(message));
    }
  }

  private void runUntil(long endNanos, boolean stopWhenConverged) {
    while (!(stopWhenConverged && hasConverged()) && eventQueue.runNext(endNanos)) {
      long leaseHolders = replicas.stream().filter(SimulatedReplica::holdsLease).count();
      SafetyChecker.check(leaseHolders <= 1, "more than one replica holds a lease");
    }
  }

  private void scheduleRepeating(long intervalMillis, Runnable action) {
    long delayNanos = random.nextLong(2 * intervalMillis * NANOS_PER_MILLI);
    eventQueue.schedule(
        delayNanos,
        () -> {
          action.run();
          scheduleRepeating(intervalMillis, action);
        });
  }

  private void scheduleFault(long withinMillis, Runnable action) {
    long delayNanos = random.nextLong(withinMillis * NANOS_PER_MILLI);
    eventQueue.schedule(
        delayNanos,
        () -> {
          if (faultsEnabled) {
            action.run();
          }
        });
  }

  private void runClients() {
    replicas.forEach(SimulatedReplica::leaseRead);
    SimulatedReplica replica = random.nextBoolean() ? randomReplica() : leaderOr(randomReplica());
    if (!replica.isRunning() || replica.isPaused()) {
      return;
    }
    // Without idle periods, a replica that has missed a few messages could never win an election.
    boolean idle = nowNanos() / (200 * NANOS_PER_MILLI) % 3 != 0;
    if (!idle && (replica.isLeader() || random.nextInt(20) == 0)) {
      if (random.nextInt(3) == 0) {
        replica.step(new ReplicaEvent.ReadBarrier(++lastRequestId));
      }
      List<ReplicaEvent.Proposal> proposals = new ArrayList<>();
      for (int i = random.nextInt(4); i >= 0; i--) {
        lastRequestId++;
        proposals.add(new ReplicaEvent.Proposal(lastRequestId, command(lastRequestId)));
      }
      replica.step(new ReplicaEvent.Propose(proposals));
    }
  }

  // Some commands are so large that a few of them reach the limits of the log in bytes.
  private static ByteString command(long requestId) {
    String padding = requestId % 16 == 0 ? "x".repeat(LARGE_COMMAND_BYTES) : "";
    return ByteString.copyFromUtf8("command " + requestId + padding);
  }

  // -- faults

  private void injectFault() {
    if (!faultsEnabled) {
      return;
    }
    SimulatedReplica replica = random.nextBoolean() ? leaderOr(randomReplica()) : randomReplica();
    switch (random.nextInt(16)) {
      case 0, 1 -> restart(replica);
      case 2 -> {
        if (random.nextInt(3) > 0) {
          return;
        }
        log("restart all");
        replicas.forEach(this::restart);
      }
      case 3, 4 -> pause(replica);
      case 5 -> blockLinks(replica, true, random.nextBoolean());
      case 6 -> blockLinks(replica, false, true);
      case 7, 12 -> {
        // Partitions a follower from the leader; later blocks all messages to the leader and, in
        // half
        // of the cases, restarts a replica, which forgets its last contact with the leader.
        SimulatedReplica leader = leaderOr(randomReplica());
        SimulatedReplica follower = randomReplica();
        blockedLinks.add(follower.instance + ">" + leader.instance);
        blockedLinks.add(leader.instance + ">" + follower.instance);
        SimulatedReplica other = randomReplica();
        boolean restarts = random.nextBoolean();
        scheduleFault(
            500,
            () -> {
              if (restarts) {
                restart(other);
              }
              blockLinks(leader, false, true);
            });
      }
      case 8, 13, 14, 15 -> {
        blockedLinks.clear();
        lossRate = random.nextInt(4) == 0 ? 0.1 : 0;
        maxDelayMillis = random.nextInt(3) == 0 ? 40 : 4;
      }
      case 9 -> {
        if (replica.isRunning() && !replica.isPaused()) {
          log("transfer from " + replica.replicaId);
          replica.step(new ReplicaEvent.TransferLeadership(++lastRequestId));
          // The old leader may not learn of its successor.
          scheduleFault(10, () -> blockLinks(replica, false, true));
        }
      }
      case 10 -> loseDisk(replica);
      default -> startRemoval(replica);
    }
  }

  private void restart(SimulatedReplica replica) {
    if (!replica.isRunning()) {
      return;
    }
    log("kill " + replica.replicaId);
    replica.kill();
    startLater(replica);
  }

  private void startLater(SimulatedReplica replica) {
    long delayNanos = random.nextLong((random.nextInt(3) > 0 ? 5 : 500) * NANOS_PER_MILLI);
    schedule(
        replica,
        delayNanos,
        () -> {
          log("start " + replica.replicaId);
          replica.start();
        });
  }

  private void pause(SimulatedReplica replica) {
    if (replica.isRunning() && !replica.isPaused()) {
      replica.pausedUntilNanos = nowNanos() + random.nextLong(500) * NANOS_PER_MILLI;
      log("pause " + replica.replicaId + " until " + replica.pausedUntilNanos / NANOS_PER_MILLI);
      // Reads under the lease right after the pause, before any message or tick arrives.
      schedule(replica, replica.pausedUntilNanos - nowNanos(), replica::leaseRead);
    }
  }

  private void blockLinks(SimulatedReplica replica, boolean outgoing, boolean incoming) {
    log("block links of " + replica.replicaId + " out " + outgoing + " in " + incoming);
    for (SimulatedReplica other : replicas) {
      if (outgoing) {
        blockedLinks.add(replica.instance + ">" + other.instance);
      }
      if (incoming) {
        blockedLinks.add(other.instance + ">" + replica.instance);
      }
    }
  }

  private void loseDisk(SimulatedReplica replica) {
    if (replacedReplica == null && replica.isRunning()) {
      replacedReplica = replica;
      replacedId = replica.replicaId;
      removalRequested = false;
      restartWithEmptyDisk(replica);
    }
  }

  private void restartWithEmptyDisk(SimulatedReplica replica) {
    if (replica.isRunning()) {
      replica.kill();
    }
    replica.processGeneration++;
    replica.disk = new SimulatedDisk(new HardState(0, ""), List.of());
    replica.replicaId = replica.instance + "/new" + (++lastRequestId);
    log("lost disk of " + replacedId + ", now " + replica.replicaId);
    startLater(replica);
  }

  private void startRemoval(SimulatedReplica replica) {
    if (replacedReplica == null && replica.isRunning()) {
      replacedReplica = replica;
      replacedId = replica.replicaId;
      removalRequested = true;
    }
  }

  // Repeats the request until it is complete, because responses are lost when the leader changes.
  private void runOperator() {
    SimulatedReplica leader = leaderOr(randomReplica());
    if (replacedReplica == null || !leader.isRunning() || leader.isPaused()) {
      return;
    }
    long requestId = ++lastRequestId;
    replacementRequestIds.add(requestId);
    log("request " + leader.replicaId + " to replace " + replacedId);
    if (removalRequested && leader == replacedReplica) {
      leader.step(new ReplicaEvent.TransferLeadership(++lastRequestId));
    } else if (removalRequested) {
      leader.step(new ReplicaEvent.RemoveReplica(requestId, replacedId));
    } else {
      leader.step(
          new ReplicaEvent.AddVoter(requestId, replacedReplica.replicaId, Optional.of(replacedId)));
    }
  }

  private void heal() {
    log("heal");
    faultsEnabled = false;
    blockedLinks.clear();
    lossRate = 0;
    maxDelayMillis = 4;
    replicas.forEach(r -> r.pausedUntilNanos = Math.min(r.pausedUntilNanos, nowNanos()));
  }

  private boolean hasConverged() {
    SimulatedReplica leader = leaderOr(replicas.get(0));
    if (replacedReplica != null || !leader.holdsLease()) {
      return false;
    }
    for (SimulatedReplica replica : replicas) {
      if (!replica.isRunning()
          || !leader.core.view().voters().contains(replica.replicaId)
          || replica.appliedIndex < leader.core.view().termStartIndex()
          || replica.appliedIndex < safetyChecker.observedIndex() - 20) {
        return false;
      }
    }
    return leader.core.view().voters().size() == replicas.size();
  }

  private SimulatedReplica randomReplica() {
    return replicas.get(random.nextInt(replicas.size()));
  }

  private SimulatedReplica leaderOr(SimulatedReplica fallback) {
    return replicas.stream().filter(SimulatedReplica::isLeader).findAny().orElse(fallback);
  }

  @Override
  public void log(String text) {
    if (trace) {
      System.out.printf("%8.1f ms  %s%n", nowNanos() / 1e6, text);
    }
  }
}
