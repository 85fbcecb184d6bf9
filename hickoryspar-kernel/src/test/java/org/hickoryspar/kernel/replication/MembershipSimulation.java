package org.hickoryspar.kernel.replication;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import org.hickoryspar.protocol.LogEntry;
import org.hickoryspar.protocol.Membership;
import org.hickoryspar.protocol.ReplicationMessage;

/**
 * Runs a cluster whose leader plans the voters itself, under a random schedule of losses that the
 * cluster must tolerate: at most two instances are lost at the same time, where an instance counts
 * as lost for some seconds after its return, and a split between two halves loses none. The
 * schedule depends only on the seed.
 */
final class MembershipSimulation implements SimulatedCluster {

  static final int TOLERATED_LOSSES = 2;

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** Time for which an instance counts as lost after its return, or a new one after its start. */
  private static final long CATCH_UP_MILLIS = 4_000;

  /** Time after the last fault by which the cluster must serve again. */
  private static final long RECOVERY_MILLIS = 12_000;

  /** Time in which a leader that was terminated hands over. */
  private static final long TRANSFER_MILLIS = 100;

  private static final int INITIAL_INSTANCES = 5;
  private static final int INITIAL_VOTERS = 3;
  private static final int SPARE_INSTANCES = 3;
  private static final List<String> DATA_CENTRES = List.of("a", "b", "c");

  /** The timeouts of the daemons, with few entries between snapshots. */
  private static final ReplicaOptions OPTIONS =
      new ReplicaOptions(
          450, 800, 80, 400, 10, 64, 4 << 10, 16, 16, 30, 4 << 10, 10, 4 << 10, 64 << 10, 64,
          60_000);

  private final SplittableRandom random;
  private final boolean trace;
  private final SafetyChecker safetyChecker = new SafetyChecker();
  private final PriorityQueue<ScheduledEvent> eventQueue = new PriorityQueue<>();
  private final List<SimulatedInstance> instances = new ArrayList<>();
  private final Set<String> blockedLinks = new HashSet<>();
  private long nowNanos;
  private long lastEventSequence;
  private long lastRequestId;
  private boolean split;
  private long splitStartNanos;
  private boolean faultsEnabled = true;
  private int nextInstance = INITIAL_INSTANCES;

  MembershipSimulation(long seed, boolean trace) {
    this.random = new SplittableRandom(seed);
    this.trace = trace;
    Membership.Builder voters = Membership.newBuilder();
    for (int i = 0; i < INITIAL_VOTERS; i++) {
      voters.addVoters("i" + i + "/1");
    }
    LogEntry first = LogEntry.newBuilder().setIndex(1).setTerm(1).setMembership(voters).build();
    for (int i = 0; i < INITIAL_INSTANCES; i++) {
      SimulatedInstance instance = addInstance("i" + i, i);
      if (i < INITIAL_VOTERS) {
        instance.replica.replicaId = "i" + i + "/1";
        instance.replica.disk = new SimulatedDisk(new HardState(1, ""), List.of(first));
      }
    }
  }

  private SimulatedInstance addInstance(String name, int position) {
    SimulatedReplica replica = new SimulatedReplica(name, this, safetyChecker, random.split());
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
    runUntil(6_000 * NANOS_PER_MILLI);
    scheduleRepeating(700, this::injectFault);
    runUntil(nowNanos + faultMillis * NANOS_PER_MILLI);
    injectLastFault();
    faultsEnabled = false;
    runUntil(nowNanos + 3_000 * NANOS_PER_MILLI);
    heal();
    runUntil(nowNanos + RECOVERY_MILLIS * NANOS_PER_MILLI);
    SafetyChecker.check(serves(), "the cluster does not serve: " + this);
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
    return nowNanos;
  }

  @Override
  public void schedule(SimulatedReplica replica, long delayNanos, Runnable action) {
    eventQueue.add(
        new ScheduledEvent(
            nowNanos + delayNanos,
            ++lastEventSequence,
            replica,
            replica.processGeneration,
            action));
  }

  @Override
  public void send(SimulatedReplica from, ReplicationMessage message) {
    String to = message.getToReplica();
    SimulatedInstance target = find(to.substring(0, to.indexOf('/')));
    if (!find(from.instance).isConnectedTo(target) || isBlocked(from.instance, target)) {
      return;
    }
    long delayNanos = (1 + random.nextLong(random.nextInt(100) == 0 ? 80 : 9)) * NANOS_PER_MILLI;
    eventQueue.add(
        new ScheduledEvent(
            nowNanos + delayNanos,
            ++lastEventSequence,
            target.replica,
            -1,
            () -> {
              if (target.replica.isRunning() && !isBlocked(from.instance, target)) {
                target.replica.step(new ReplicaEvent.Received(message));
              }
            }));
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
      System.out.printf("%8.1f ms  %s%n", nowNanos / 1e6, text);
    }
  }

  long nextRequestId() {
    return ++lastRequestId;
  }

  boolean isLinkUp(SimulatedInstance one, SimulatedInstance other) {
    return !isBlocked(one.name(), other) && !isBlocked(other.name(), one);
  }

  private boolean isBlocked(String from, SimulatedInstance to) {
    return blockedLinks.contains(from + ">" + to.name());
  }

  private SimulatedInstance find(String name) {
    return instances.stream().filter(i -> i.name().equals(name)).findFirst().orElseThrow();
  }

  private void runUntil(long endNanos) {
    while (!eventQueue.isEmpty() && eventQueue.peek().atNanos <= endNanos) {
      ScheduledEvent next = eventQueue.remove();
      nowNanos = Math.max(nowNanos, next.atNanos);
      SimulatedReplica replica = next.replica;
      if (replica != null && replica.isPaused()) {
        eventQueue.add(next.delayedTo(replica.pausedUntilNanos, ++lastEventSequence));
      } else if (replica == null
          || next.processGeneration == -1
          || next.processGeneration == replica.processGeneration) {
        next.action.run();
      }
      long leaseHolders = instances.stream().filter(i -> i.replica.holdsLease()).count();
      SafetyChecker.check(leaseHolders <= 1, "more than one replica holds a lease");
    }
    nowNanos = Math.max(nowNanos, endNanos);
  }

  private void scheduleAction(long delayMillis, Runnable action) {
    eventQueue.add(
        new ScheduledEvent(
            nowNanos + delayMillis * NANOS_PER_MILLI, ++lastEventSequence, null, 0, action));
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

  // -- faults

  private void injectFault() {
    if (!faultsEnabled) {
      return;
    }
    switch (random.nextInt(11)) {
      case 0, 1 -> loseDisks();
      case 2, 3 ->
          chooseVictim("power off").ifPresent(i -> stop(i, false, randomMillis(300, 5_000)));
      case 4 -> chooseVictim("freeze").ifPresent(this::freeze);
      case 5 -> chooseVictim("cut off").ifPresent(this::cutOff);
      case 6 -> splitInHalves();
      case 7 -> replace();
      case 8 -> addSpare();
      case 9 -> chooseVictim("restart").ifPresent(this::restart);
      default -> {
        if (random.nextInt(3) == 0 && lostCount() == 0) {
          log("power off all");
          instances.forEach(i -> stop(i, false, randomMillis(300, 2_000)));
        }
      }
    }
  }

  private java.util.Optional<SimulatedInstance> chooseVictim(String reason) {
    if (lostCount() >= TOLERATED_LOSSES) {
      return java.util.Optional.empty();
    }
    List<SimulatedInstance> candidates =
        instances.stream().filter(i -> i.replica.isRunning() && !isLost(i)).toList();
    if (candidates.isEmpty()) {
      return java.util.Optional.empty();
    }
    SimulatedInstance victim =
        candidates.stream()
            .filter(i -> i.replica.isLeader() && random.nextInt(2) == 0)
            .findFirst()
            .orElseGet(() -> candidates.get(random.nextInt(candidates.size())));
    log(reason + " " + victim.replica.replicaId);
    return java.util.Optional.of(victim);
  }

  private void loseDisks() {
    int count = 1 + random.nextInt(TOLERATED_LOSSES);
    for (int i = 0; i < count; i++) {
      chooseVictim("lose disk of").ifPresent(v -> stop(v, true, randomMillis(300, 3_000)));
    }
  }

  private void stop(SimulatedInstance instance, boolean erase, long downMillis) {
    if (!instance.replica.isRunning()) {
      return;
    }
    instance.stop();
    if (erase) {
      instance.eraseDisk();
    }
    markLost(instance, downMillis);
    scheduleAction(
        downMillis,
        () -> {
          log("start " + instance.replica.replicaId);
          instance.start();
        });
  }

  private void freeze(SimulatedInstance instance) {
    long millis = randomMillis(300, 6_000);
    instance.replica.pausedUntilNanos = nowNanos + millis * NANOS_PER_MILLI;
    markLost(instance, millis);
  }

  private void cutOff(SimulatedInstance instance) {
    long millis = randomMillis(1_000, 6_000);
    boolean outgoing = random.nextInt(4) > 0;
    boolean incoming = !outgoing || random.nextInt(3) > 0;
    List<String> links = new ArrayList<>();
    for (SimulatedInstance other : instances) {
      if (outgoing) {
        links.add(instance.name() + ">" + other.name());
      }
      if (incoming) {
        links.add(other.name() + ">" + instance.name());
      }
    }
    markLost(instance, millis);
    block(links, millis);
  }

  private void splitInHalves() {
    if (split) {
      return;
    }
    List<SimulatedInstance> shuffled = new ArrayList<>(instances);
    Collections.shuffle(shuffled, new Random(random.nextLong()));
    List<SimulatedInstance> half = shuffled.subList(0, shuffled.size() / 2);
    List<String> links = new ArrayList<>();
    for (SimulatedInstance one : half) {
      for (SimulatedInstance other : shuffled.subList(half.size(), shuffled.size())) {
        links.add(one.name() + ">" + other.name());
        links.add(other.name() + ">" + one.name());
      }
    }
    long millis = randomMillis(1_000, 8_000);
    log("split off " + half.stream().map(SimulatedInstance::name).toList());
    split = true;
    splitStartNanos = nowNanos;
    scheduleAction(millis, this::endSplit);
    block(links, millis);
  }

  // An instance that was lost when the halves were split may be unable to catch up until the end.
  private void endSplit() {
    split = false;
    for (SimulatedInstance instance : instances) {
      if (instance.lostUntilNanos > splitStartNanos) {
        markLost(instance, 0);
      }
    }
  }

  private void block(List<String> links, long millis) {
    blockedLinks.addAll(links);
    scheduleAction(
        millis,
        () -> {
          log("links work again");
          blockedLinks.removeAll(links);
        });
  }

  private void replace() {
    if (nextInstance >= INITIAL_INSTANCES + SPARE_INSTANCES) {
      return;
    }
    chooseVictim("replace")
        .ifPresent(
            victim -> {
              int position = nextInstance++;
              long successorDelayMillis = randomMillis(0, 3_000);
              boolean planned = random.nextBoolean();
              victim.lostUntilNanos =
                  nowNanos + (successorDelayMillis + CATCH_UP_MILLIS) * NANOS_PER_MILLI;
              if (planned) {
                startNew(position);
                scheduleAction(1_000, () -> terminate(victim));
                victim.lostUntilNanos = nowNanos + CATCH_UP_MILLIS * NANOS_PER_MILLI;
              } else {
                victim.stop();
                scheduleAction(successorDelayMillis, () -> startNew(position));
              }
              victim.removed = true;
            });
  }

  /** Ends a process as after a termination signal: a leader hands over first. */
  private void terminate(SimulatedInstance instance) {
    if (!instance.replica.isRunning() || instance.replica.isPaused()) {
      instance.stop();
      return;
    }
    if (instance.replica.isLeader()) {
      instance.replica.step(new ReplicaEvent.TransferLeadership(nextRequestId()));
    }
    scheduleAction(
        TRANSFER_MILLIS,
        () -> {
          instance.stop();
          instances.forEach(other -> other.disconnectFrom(instance));
        });
  }

  private void restart(SimulatedInstance instance) {
    long millis = randomMillis(300, 2_000);
    markLost(instance, TRANSFER_MILLIS + millis);
    terminate(instance);
    scheduleAction(TRANSFER_MILLIS + millis, instance::start);
  }

  private void addSpare() {
    if (nextInstance < INITIAL_INSTANCES + SPARE_INSTANCES) {
      startNew(nextInstance++);
    }
  }

  private void startNew(int position) {
    SimulatedInstance instance = addInstance("i" + position, position);
    log("start new " + instance.replica.replicaId);
    instance.start();
  }

  /** Erases as many disks as must be tolerated while all others lose power. */
  private void injectLastFault() {
    log("last fault");
    for (int i = 0; i < TOLERATED_LOSSES; i++) {
      chooseVictim("lose disk of").ifPresent(v -> stop(v, true, randomMillis(300, 2_000)));
    }
    if (random.nextBoolean()) {
      for (SimulatedInstance instance : List.copyOf(instances)) {
        if (!instance.removed) {
          stop(instance, false, randomMillis(300, 2_000));
        }
      }
    }
  }

  private void heal() {
    log("heal");
    blockedLinks.clear();
    for (SimulatedInstance instance : instances) {
      instance.replica.pausedUntilNanos = Math.min(instance.replica.pausedUntilNanos, nowNanos);
    }
  }

  private void markLost(SimulatedInstance instance, long millis) {
    instance.lostUntilNanos =
        Math.max(instance.lostUntilNanos, nowNanos + (millis + CATCH_UP_MILLIS) * NANOS_PER_MILLI);
  }

  private boolean isLost(SimulatedInstance instance) {
    return instance.lostUntilNanos > (split ? splitStartNanos : nowNanos);
  }

  private long lostCount() {
    return instances.stream().filter(this::isLost).count();
  }

  private long randomMillis(long min, long max) {
    return random.nextLong(min, max);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    for (SimulatedInstance instance : instances) {
      text.append(System.lineSeparator()).append("  ").append(instance);
    }
    return text.toString();
  }

  private record ScheduledEvent(
      long atNanos,
      long sequence,
      SimulatedReplica replica,
      long processGeneration,
      Runnable action)
      implements Comparable<ScheduledEvent> {

    ScheduledEvent delayedTo(long newAtNanos, long newSequence) {
      return new ScheduledEvent(newAtNanos, newSequence, replica, processGeneration, action);
    }

    @Override
    public int compareTo(ScheduledEvent other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
