package org.hickoryspar.kernel.replication;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;

/**
 * Random losses of instances that a cluster must tolerate: at most two instances are lost at the
 * same time, where an instance counts as lost for some seconds after its return, or a new one after
 * its start. A split between two halves loses none, but nobody can catch up with the other half
 * before its end. Instances are also replaced, added and restarted.
 */
final class LossSchedule {

  /** Time for which an instance counts as lost after its return, or a new one after its start. */
  private static final long CATCH_UP_MILLIS = 4_000;

  /** Time in which a leader that was terminated hands over. */
  private static final long TRANSFER_MILLIS = 100;

  private static final int MAX_INSTANCES = MembershipSimulation.INITIAL_INSTANCES + 3;

  private final MembershipSimulation cluster;
  private final SplittableRandom random;
  private boolean split;
  private long splitStartNanos;
  private int nextInstance = MembershipSimulation.INITIAL_INSTANCES;

  LossSchedule(MembershipSimulation cluster, SplittableRandom random) {
    this.cluster = cluster;
    this.random = random;
  }

  /** Injects a random fault that must be tolerated, if there is one. */
  void injectFault() {
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
          cluster.log("power off all");
          cluster.instances().forEach(i -> stop(i, false, randomMillis(300, 2_000)));
        }
      }
    }
  }

  private Optional<SimulatedInstance> chooseVictim(String reason) {
    if (lostCount() >= MembershipSimulation.TOLERATED_LOSSES) {
      return Optional.empty();
    }
    List<SimulatedInstance> candidates =
        cluster.instances().stream().filter(i -> i.replica.isRunning() && !isLost(i)).toList();
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    SimulatedInstance victim =
        candidates.stream()
            .filter(i -> i.replica.isLeader() && random.nextInt(2) == 0)
            .findFirst()
            .orElseGet(() -> candidates.get(random.nextInt(candidates.size())));
    cluster.log(reason + " " + victim.replica.replicaId);
    return Optional.of(victim);
  }

  private void loseDisks() {
    int count = 1 + random.nextInt(MembershipSimulation.TOLERATED_LOSSES);
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
    cluster.scheduleAction(downMillis, () -> startUnlessRemoved(instance));
  }

  private void startUnlessRemoved(SimulatedInstance instance) {
    if (!instance.removed) {
      cluster.log("start " + instance.replica.replicaId);
      instance.start();
    }
  }

  private void freeze(SimulatedInstance instance) {
    long millis = randomMillis(300, 6_000);
    instance.replica.pausedUntilNanos = cluster.nowNanos() + millis * EventQueue.NANOS_PER_MILLI;
    markLost(instance, millis);
  }

  private void cutOff(SimulatedInstance instance) {
    long millis = randomMillis(1_000, 6_000);
    boolean outgoing = random.nextInt(4) > 0;
    boolean incoming = !outgoing || random.nextInt(3) > 0;
    List<String> links = new ArrayList<>();
    for (SimulatedInstance other : cluster.instances()) {
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
    List<SimulatedInstance> shuffled = new ArrayList<>(cluster.instances());
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
    cluster.log("split off " + half.stream().map(SimulatedInstance::name).toList());
    split = true;
    splitStartNanos = cluster.nowNanos();
    cluster.scheduleAction(millis, this::endSplit);
    block(links, millis);
  }

  // An instance that was lost when the halves were split may be unable to catch up until the end.
  private void endSplit() {
    split = false;
    for (SimulatedInstance instance : cluster.instances()) {
      if (instance.lostUntilNanos > splitStartNanos) {
        markLost(instance, 0);
      }
    }
  }

  private void block(List<String> links, long millis) {
    cluster.blockLinks(links);
    cluster.scheduleAction(
        millis,
        () -> {
          cluster.log("links work again");
          cluster.unblockLinks(links);
        });
  }

  private void replace() {
    if (nextInstance >= MAX_INSTANCES) {
      return;
    }
    chooseVictim("replace")
        .ifPresent(
            victim -> {
              int position = nextInstance++;
              long successorDelayMillis = randomMillis(0, 3_000);
              boolean planned = random.nextBoolean();
              victim.lostUntilNanos =
                  cluster.nowNanos()
                      + (successorDelayMillis + CATCH_UP_MILLIS) * EventQueue.NANOS_PER_MILLI;
              if (planned) {
                startNew(position);
                cluster.scheduleAction(1_000, () -> terminate(victim));
                victim.lostUntilNanos =
                    cluster.nowNanos() + CATCH_UP_MILLIS * EventQueue.NANOS_PER_MILLI;
              } else {
                victim.stop();
                cluster.scheduleAction(successorDelayMillis, () -> startNew(position));
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
      instance.replica.step(new ReplicaEvent.TransferLeadership(cluster.nextRequestId()));
    }
    cluster.scheduleAction(
        TRANSFER_MILLIS,
        () -> {
          instance.stop();
          cluster.instances().forEach(other -> other.disconnectFrom(instance));
        });
  }

  private void restart(SimulatedInstance instance) {
    long millis = randomMillis(300, 2_000);
    markLost(instance, TRANSFER_MILLIS + millis);
    terminate(instance);
    cluster.scheduleAction(TRANSFER_MILLIS + millis, () -> startUnlessRemoved(instance));
  }

  private void addSpare() {
    if (nextInstance < MAX_INSTANCES) {
      startNew(nextInstance++);
    }
  }

  private void startNew(int position) {
    SimulatedInstance instance = cluster.addInstance(position);
    cluster.log("start new " + instance.replica.replicaId);
    instance.start();
  }

  /** Erases as many disks as must be tolerated while all others lose power. */
  void injectLastFault() {
    cluster.log("last fault");
    for (int i = 0; i < MembershipSimulation.TOLERATED_LOSSES; i++) {
      chooseVictim("lose disk of").ifPresent(v -> stop(v, true, randomMillis(300, 2_000)));
    }
    if (random.nextBoolean()) {
      for (SimulatedInstance instance : List.copyOf(cluster.instances())) {
        if (!instance.removed) {
          stop(instance, false, randomMillis(300, 2_000));
        }
      }
    }
  }

  /** Ends all partitions and pauses. */
  void heal() {
    cluster.log("heal");
    cluster.unblockAllLinks();
    for (SimulatedInstance instance : cluster.instances()) {
      instance.replica.pausedUntilNanos =
          Math.min(instance.replica.pausedUntilNanos, cluster.nowNanos());
    }
  }

  private void markLost(SimulatedInstance instance, long millis) {
    instance.lostUntilNanos =
        Math.max(
            instance.lostUntilNanos,
            cluster.nowNanos() + (millis + CATCH_UP_MILLIS) * EventQueue.NANOS_PER_MILLI);
  }

  private boolean isLost(SimulatedInstance instance) {
    return instance.lostUntilNanos > (split ? splitStartNanos : cluster.nowNanos());
  }

  private long lostCount() {
    return cluster.instances().stream().filter(this::isLost).count();
  }

  private long randomMillis(long min, long max) {
    return random.nextLong(min, max);
  }
}
