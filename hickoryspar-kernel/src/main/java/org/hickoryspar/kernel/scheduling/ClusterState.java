package org.hickoryspar.kernel.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * The workers, gangs, pending placements, teams and waiting jobs. Updates the capacity indexes of
 * the fleet and the resources held by teams when gangs or pending placements change.
 */
final class ClusterState {

  private final Fleet fleet = new Fleet();
  private final Map<String, Gang> gangs = new LinkedHashMap<>();
  private final List<Map<Gang, Integer>> gangsOn = new ArrayList<>();
  private final Map<String, PendingPlacement> pendingPlacements = new LinkedHashMap<>();
  private final TreeMap<String, TeamState> teams = new TreeMap<>();
  private final WaitingQueue waiting = new WaitingQueue();
  private long version;

  Fleet fleet() {
    return fleet;
  }

  Map<String, Gang> gangs() {
    return gangs;
  }

  /** Returns the pending placements by job. */
  Map<String, PendingPlacement> pendingPlacements() {
    return pendingPlacements;
  }

  WaitingQueue waiting() {
    return waiting;
  }

  TeamState team(String name) {
    return teams.computeIfAbsent(name, TeamState::new);
  }

  Map<String, TeamState> teams() {
    return teams;
  }

  /** Returns a number that is incremented whenever a failed search could succeed. */
  long version() {
    return version;
  }

  void incrementVersion() {
    version++;
  }

  /** Returns the gangs on a worker, each with the number of its tasks there. */
  Map<Gang, Integer> gangsOn(int worker) {
    return worker < gangsOn.size() ? gangsOn.get(worker) : Map.of();
  }

  /** Adds a gang and subtracts its resources. */
  void addGang(Gang gang) {
    gangs.put(gang.job().jobId(), gang);
    for (int worker : gang.workers()) {
      fleet.retain(worker);
      fleet.free().subtract(worker, gang.perTask(), 1);
      while (gangsOn.size() <= worker) {
        gangsOn.add(new LinkedHashMap<>(4));
      }
      gangsOn.get(worker).merge(gang, 1, Integer::sum);
    }
    team(gang.job().team()).allocate(total(gang));
    updateCapacity(gang, 1);
  }

  /** Removes a gang and releases its resources; returns it, or null if it is unknown. */
  @Nullable Gang removeGang(String jobId) {
    Gang gang = gangs.remove(jobId);
    if (gang == null) {
      return null;
    }
    updateCapacity(gang, -1);
    team(gang.job().team()).release(total(gang));
    for (int worker : gang.workers()) {
      fleet.free().add(worker, gang.perTask(), 1);
      gangsOn.get(worker).remove(gang);
      fleet.release(worker);
    }
    incrementVersion();
    return gang;
  }

  /** Sets or clears the guarantee that a gang uses. */
  void setGuarantee(Gang gang, @Nullable GuaranteeState guarantee) {
    updateCapacity(gang, -1);
    gang.setGuarantee(guarantee);
    updateCapacity(gang, 1);
  }

  /** Reserves the resources of a pending placement. */
  void reserve(PendingPlacement pending) {
    pendingPlacements.put(pending.job().jobId(), pending);
    for (int worker : pending.workers()) {
      fleet.retain(worker);
    }
    updateCapacity(pending, 1);
    team(pending.job().team()).allocate(pending.total());
  }

  /** Releases the resources of a pending placement. */
  void release(PendingPlacement pending) {
    pendingPlacements.remove(pending.job().jobId());
    updateCapacity(pending, -1);
    team(pending.job().team()).release(pending.total());
    for (int worker : pending.workers()) {
      fleet.release(worker);
    }
  }

  private void updateCapacity(PendingPlacement pending, int sign) {
    ResourceVector perTask = pending.job().shape().perTask();
    for (int worker : pending.workers()) {
      fleet.free().subtract(worker, perTask, sign);
      fleet.freeAfterPreemption().subtract(worker, perTask, sign);
      if (pending.isCommitted()) {
        fleet.uncommitted().subtract(worker, perTask, sign);
      }
    }
    if (pending.isCommitted()) {
      team(pending.job().team()).commit(pending.total(), sign);
    }
  }

  private void updateCapacity(Gang gang, int sign) {
    if (gang.isCommitted()) {
      team(gang.job().team()).commit(total(gang), sign);
    }
    for (int worker : gang.workers()) {
      if (gang.isCommitted()) {
        fleet.uncommitted().subtract(worker, gang.perTask(), sign);
      }
      if (!gang.isPreemptible()) {
        fleet.freeAfterPreemption().subtract(worker, gang.perTask(), sign);
      }
    }
  }

  private static ResourceVector total(Gang gang) {
    return gang.perTask().times(gang.workers().length);
  }
}
