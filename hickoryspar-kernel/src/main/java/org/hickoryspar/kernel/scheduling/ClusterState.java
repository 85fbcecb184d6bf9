package org.hickoryspar.kernel.scheduling;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** Workers, gangs, claims, teams and waiting jobs, with the amounts that follow from them. */
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

  /** Returns the jobs for which a place is reserved. */
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

  /** Returns a number that grows whenever a search that failed could succeed again. */
  long version() {
    return version;
  }

  void incrementVersion() {
    version++;
  }

  /** Returns the gangs on a worker with the number of their tasks there. */
  Map<Gang, Integer> gangsOn(int worker) {
    return worker < gangsOn.size() ? gangsOn.get(worker) : Map.of();
  }

  /** Counts a gang's resources as held. */
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
    team(gang.job().team()).hold(total(gang));
    updateCapacity(gang, 1);
  }

  /** Releases a gang's resources and returns it, or null when there is no such gang. */
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

  /** Changes which guarantee a running gang uses. */
  void setGuarantee(Gang gang, @Nullable GuaranteeState guarantee) {
    updateCapacity(gang, -1);
    gang.setGuarantee(guarantee);
    updateCapacity(gang, 1);
  }

  /** Reserves the place of a claim. */
  void reserve(PendingPlacement pending) {
    pendingPlacements.put(pending.job().jobId(), pending);
    for (int worker : pending.workers()) {
      fleet.retain(worker);
    }
    updateCapacity(pending, 1);
    team(pending.job().team()).hold(pending.total());
  }

  /** Ends the reservation of a claim. */
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
