package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The minions that accept work, by service and required label. Valid for one planning round. */
final class MinionPools {

  private final List<Minion> usable = new ArrayList<>();
  private final List<Minion> isolated = new ArrayList<>();
  private final long nowMillis;
  private final Map<Key, Pool> pools = new HashMap<>();

  MinionPools(Collection<Minion> minions, Set<String> dataCentresOut, long nowMillis) {
    this.nowMillis = nowMillis;
    for (Minion minion : minions) {
      if (minion.acceptsWork() && !dataCentresOut.contains(minion.dataCentre())) {
        (minion.health().isIsolated(nowMillis) ? isolated : usable).add(minion);
      }
    }
  }

  boolean areUsable(List<Minion> minions) {
    return usable.containsAll(minions);
  }

  /** Returns the minions that provide the service and the label of a step. */
  Pool poolFor(WaitingStep waitingStep) {
    return pools.computeIfAbsent(
        new Key(waitingStep.queue().getService(), waitingStep.step().getRequiredLabel()),
        this::newPool);
  }

  private Pool newPool(Key key) {
    Pool pool = new Pool();
    isolated.stream().filter(key::matches).forEach(pool.isolated::add);
    for (Minion minion : usable) {
      if (key.matches(minion)) {
        if (minion.health().isAwaitingProbe(nowMillis)) {
          pool.awaitingProbe.add(minion);
        } else if (minion.health().hasRecentFailure(nowMillis)) {
          pool.recentlyFailed.add(minion);
        } else {
          pool.healthy.add(minion);
        }
      }
    }
    boolean allSound = pool.healthy.stream().noneMatch(minion -> minion.speed().isSlow());
    pool.sound =
        allSound
            ? pool.healthy
            : pool.healthy.stream().filter(minion -> !minion.speed().isSlow()).toList();
    return pool;
  }

  /** Minions of one service and label, by their recent failures. */
  static final class Pool {

    private final List<Minion> healthy = new ArrayList<>();
    private final List<Minion> recentlyFailed = new ArrayList<>();
    private final List<Minion> awaitingProbe = new ArrayList<>();
    private final List<Minion> isolated = new ArrayList<>();
    private List<Minion> sound = List.of();

    /** Returns the minions without a recent failure. */
    List<Minion> healthy() {
      return healthy;
    }

    /** Returns those minions without a recent failure that are not slow, in the same order. */
    List<Minion> sound() {
      return sound;
    }

    /** Returns whether some of the minions without a recent failure are slow. */
    boolean hasSlowMinions() {
      return sound.size() < healthy.size();
    }

    /** Returns the minions with a recent failure that the task may have caused. */
    List<Minion> recentlyFailed() {
      return recentlyFailed;
    }

    /** Returns the minions that are given a single task as a probe before other work. */
    List<Minion> awaitingProbe() {
      return awaitingProbe;
    }

    /** Returns the minions that are avoided for some time because of failures. */
    List<Minion> isolated() {
      return isolated;
    }
  }

  private record Key(String service, String label) {

    boolean matches(Minion minion) {
      return minion.service().equals(service) && minion.hasLabel(label);
    }
  }
}
