package org.hickoryspar.kernel.replication;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.hickoryspar.protocol.LogEntry;
import org.hickoryspar.protocol.Membership;
import org.hickoryspar.protocol.ReplicationMessage;

/**
 * Runs a cluster whose leader plans the voters itself, under a random schedule of losses that the
 * cluster must tolerate. The schedule depends only on the seed.
 */
final class MembershipSimulation implements SimulatedCluster {

  static final int TOLERATED_LOSSES = 2;

  /** Time until all voters have joined. */
  private static final long START_MILLIS = 6_000;

  /** Time by which all instances are back after the last fault. */
  private static final long LAST_FAULT_MILLIS = 3_000;

  /** Time after the last fault by which the cluster must serve again. */
  private static final long RECOVERY_MILLIS = 12_000;

  static final int INITIAL_INSTANCES = 5;
  private static final int INITIAL_VOTERS = 3;
  private static final List<String> DATA_CENTRES = List.of("a", "b", "c");

  /** The timeouts of the daemons, with few entries between snapshots. */
  private static final ReplicaOptions OPTIONS =
      new ReplicaOptions(
          450, 800, 80, 400, 10, 64, 4 << 10, 16, 16, 30, 4 << 10, 10, 4 << 10, 64 << 10, 64,
          60_000);

  private final SplittableRandom random;
  private final boolean trace;
  private final SafetyChecker safetyChecker = new SafetyChecker();
  private final EventQueue eventQueue = new EventQueue();
  private final List<SimulatedInstance> instances = new ArrayList<>();
  private final Set<String> blockedLinks = new HashSet<>();
  private long lastRequestId;
  private boolean faultsEnabled = true;
  private final LossSchedule losses;

  MembershipSimulation(long seed, boolean trace) {
    this.random = new SplittableRandom(seed);
    this.trace = trace;
    this.losses = new LossSchedule(this, random);
    Membership.Builder voters = Membership.newBuilder();
    for (int i = 0; i < INITIAL_VOTERS; i++) {
      voters.addVoters("i" + i + "/1");
    }
    LogEntry first = LogEntry.newBuilder().setIndex(1).setTerm(1).setMembership(voters).build();
    for (int i = 0; i < INITIAL_INSTANCES; i++) {
      SimulatedInstance instance = addInstance(i);
      if (i < INITIAL_VOTERS) {
        instance.replica.replicaId = "i" + i + "/1";
        instance.replica.disk = new SimulatedDisk(new HardState(1, ""), List.of(first));
      }
    }
  }

  SimulatedInstance addInstance(int position) {
    SimulatedReplica replica =
        new SimulatedReplica("i" + position, this, safetyChecker, random.split());
    SimulatedInstance instance =
        new SimulatedInstance(
            this, replica, DATA_CENTRES.get(position % DATA_CENTRES.size()), random.split());
    instance.eraseDisk();
    instances.add(instance);
    return instance;
  }

  SafetyChecker safetyChecker() {
    return safetyChecker;
  }

  /**
   * Injects faults for a time, ends the run with a last fault of all instances and checks that the
   * cluster serves again with all that was committed.
   */
  void run(long faultMillis) {
    instances.forEach(SimulatedInstance::start);
    scheduleRepeating(20, this::runClients);
    scheduleRepeating(50, () -> instances.forEach(i -> i.maintain(instances)));
    runFor(START_MILLIS);
    scheduleRepeating(700, this::injectFault);
    runFor(faultMillis);
    losses.injectLastFault();
    faultsEnabled = false;
    runFor(LAST_FAULT_MILLIS);
    losses.heal();
    runFor(RECOVERY_MILLIS);
    SafetyChecker.check(serves(), "the cluster does not serve: " + this);
  }

  private void injectFault() {
    if (faultsEnabled) {
      losses.injectFault();
    }
  }

  private boolean serves() {
    return instances.stream()
        .anyMatch(
            i ->
                i.replica.holdsLease()
                    && i.replica.core.view().voters().size() == 2 * TOLERATED_LOSSES + 1
                    && i.replica.appliedIndex >= safetyChecker.observedIndex());
  }

  // -- cluster

  @Override
  public ReplicaOptions options() {
    return OPTIONS;
  }

  @Override
  public long nowNanos() {
    return eventQueue.nowNanos();
  }

  @Override
  public void schedule(SimulatedReplica replica, long delayNanos, Runnable action) {
    eventQueue.scheduleInProcess(replica, delayNanos, action);
  }

  @Override
  public void send(SimulatedReplica from, ReplicationMessage message) {
    String to = message.getToReplica();
    SimulatedInstance target = find(to.substring(0, to.indexOf('/')));
    if (!find(from.instance).isConnectedTo(target) || isBlocked(from.instance, target)) {
      return;
    }
    long delayMillis = 1 + random.nextLong(random.nextInt(100) == 0 ? 80 : 9);
    eventQueue.scheduleAt(
        target.replica,
        delayMillis * EventQueue.NANOS_PER_MILLI,
        () -> {
          if (target.replica.isRunning() && !isBlocked(from.instance, target)) {
            target.replica.step(new ReplicaEvent.Received(message));
          }
        });
  }

  @Override
  public void onChangeCompleted(long requestId) {
    instances.forEach(i -> i.handleChangeEnded(requestId));
  }

  @Override
  public void onRejected(long requestId) {
    instances.forEach(i -> i.handleChangeEnded(requestId));
  }

  @Override
  public void log(String text) {
    if (trace) {
      System.out.printf("%8.1f ms  %s%n", nowNanos() / 1e6, text);
    }
  }

  long nextRequestId() {
    return ++lastRequestId;
  }

  boolean isLinkUp(SimulatedInstance one, SimulatedInstance other) {
    return !isBlocked(one.name(), other) && !isBlocked(other.name(), one);
  }

  List<SimulatedInstance> instances() {
    return instances;
  }

  void blockLinks(List<String> links) {
    blockedLinks.addAll(links);
  }

  void unblockLinks(List<String> links) {
    links.forEach(blockedLinks::remove);
  }

  void unblockAllLinks() {
    blockedLinks.clear();
  }

  private boolean isBlocked(String from, SimulatedInstance to) {
    return blockedLinks.contains(from + ">" + to.name());
  }

  private SimulatedInstance find(String name) {
    return instances.stream().filter(i -> i.name().equals(name)).findFirst().orElseThrow();
  }

  private void runFor(long millis) {
    long endNanos = nowNanos() + millis * EventQueue.NANOS_PER_MILLI;
    while (eventQueue.runNext(endNanos)) {
      long leaseHolders = instances.stream().filter(i -> i.replica.holdsLease()).count();
      SafetyChecker.check(leaseHolders <= 1, "more than one replica holds a lease");
    }
  }

  void scheduleAction(long delayMillis, Runnable action) {
    eventQueue.schedule(delayMillis * EventQueue.NANOS_PER_MILLI, action);
  }

  private void scheduleRepeating(long intervalMillis, Runnable action) {
    scheduleAction(
        intervalMillis / 2 + random.nextLong(intervalMillis),
        () -> {
          action.run();
          scheduleRepeating(intervalMillis, action);
        });
  }

  private void runClients() {
    for (SimulatedInstance instance : instances) {
      SimulatedReplica replica = instance.replica;
      replica.leaseRead();
      if (replica.isLeader() && !replica.isPaused()) {
        ByteString command = ByteString.copyFromUtf8("command " + nextRequestId());
        replica.step(
            new ReplicaEvent.Propose(List.of(new ReplicaEvent.Proposal(lastRequestId, command))));
      }
    }
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    for (SimulatedInstance instance : instances) {
      text.append(System.lineSeparator()).append("  ").append(instance);
    }
    return text.toString();
  }
}
