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
  private final Map<String, PendingPlacement> claims = new LinkedHashMap<>();
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
  Map<String, PendingPlacement> claims() {
    return claims;
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

  void changed() {
    version++;
  }

  /** Returns the gangs on a worker with the number of their tasks there. */
  Map<Gang, Integer> gangsOn(int worker) {
    return worker < gangsOn.size() ? gangsOn.get(worker) : Map.of();
  }

  /** Counts a gang's resources as held. */
  void start(Gang gang) {
    gangs.put(gang.job().jobId(), gang);
    for (int worker : gang.workers()) {
      fleet.hold(worker);
      fleet.free().take(worker, gang.perTask(), 1);
      while (gangsOn.size() <= worker) {
        gangsOn.add(new LinkedHashMap<>(4));
      }
      gangsOn.get(worker).merge(gang, 1, Integer::sum);
    }
    team(gang.job().team()).hold(total(gang));
    account(gang, 1);
  }

  /** Releases a gang's resources and returns it, or null when there is no such gang. */
  @Nullable Gang end(String jobId) {
    Gang gang = gangs.remove(jobId);
    if (gang == null) {
      return null;
    }
    account(gang, -1);
    team(gang.job().team()).release(total(gang));
    for (int worker : gang.workers()) {
      fleet.free().add(worker, gang.perTask(), 1);
      gangsOn.get(worker).remove(gang);
      fleet.unhold(worker);
    }
    changed();
    return gang;
  }

  /** Changes which guarantee a running gang uses. */
  void setSlot(Gang gang, @Nullable GuaranteeState slot) {
    account(gang, -1);
    gang.setSlot(slot);
    account(gang, 1);
  }

  /** Reserves the place of a claim. */
  void reserve(PendingPlacement claim) {
    claims.put(claim.job().jobId(), claim);
    for (int worker : claim.workers()) {
      fleet.hold(worker);
    }
    account(claim, 1);
    team(claim.job().team()).hold(claim.total());
  }

  /** Ends the reservation of a claim. */
  void unreserve(PendingPlacement claim) {
    claims.remove(claim.job().jobId());
    account(claim, -1);
    team(claim.job().team()).release(claim.total());
    for (int worker : claim.workers()) {
      fleet.unhold(worker);
    }
  }

  private void account(PendingPlacement claim, int sign) {
    ResourceVector perTask = claim.job().shape().perTask();
    for (int worker : claim.workers()) {
      fleet.free().take(worker, perTask, sign);
      fleet.open().take(worker, perTask, sign);
      if (claim.isFixed()) {
        fleet.reclaimable().take(worker, perTask, sign);
      }
    }
    if (claim.isFixed()) {
      team(claim.job().team()).fix(claim.total(), sign);
    }
  }

  private void account(Gang gang, int sign) {
    if (gang.isFixed()) {
      team(gang.job().team()).fix(total(gang), sign);
    }
    for (int worker : gang.workers()) {
      if (gang.isFixed()) {
        fleet.reclaimable().take(worker, gang.perTask(), sign);
      }
      if (!gang.isReclaimable()) {
        fleet.open().take(worker, gang.perTask(), sign);
      }
    }
  }

  private static ResourceVector total(Gang gang) {
    return gang.perTask().times(gang.workers().length);
  }
}
