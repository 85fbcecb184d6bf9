package org.hickoryspar.kernel.scheduling;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** Workers, gangs, teams and waiting jobs, with the amounts that follow from them. */
final class ClusterState {

  private final Fleet fleet = new Fleet();
  private final Map<String, Gang> gangs = new LinkedHashMap<>();
  private final TreeMap<String, TeamState> teams = new TreeMap<>();
  private final WaitingQueue waiting = new WaitingQueue();

  Fleet fleet() {
    return fleet;
  }

  Map<String, Gang> gangs() {
    return gangs;
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

  /** Counts a gang's resources as held. */
  void start(Gang gang) {
    JobRequest job = gang.job();
    gangs.put(job.jobId(), gang);
    for (int worker : gang.workers()) {
      fleet.hold(worker);
      fleet.free().take(worker, gang.perTask(), 1);
    }
    TeamState team = team(job.team());
    ResourceShape total = gang.perTask().times(gang.workers().length);
    team.hold(total);
    if (gang.isFixed()) {
      fix(gang, true);
    }
  }

  /** Releases a gang's resources and returns it, or null when there is no such gang. */
  @Nullable Gang end(String jobId) {
    Gang gang = gangs.remove(jobId);
    if (gang == null) {
      return null;
    }
    if (gang.isFixed()) {
      fix(gang, false);
    }
    for (int worker : gang.workers()) {
      fleet.free().add(worker, gang.perTask(), 1);
      fleet.unhold(worker);
    }
    team(gang.job().team()).release(gang.perTask().times(gang.workers().length));
    return gang;
  }

  /** Counts, or stops counting, a gang as one that guarantees cannot reclaim. */
  void fix(Gang gang, boolean fixed) {
    TeamState team = team(gang.job().team());
    ResourceShape total = gang.perTask().times(gang.workers().length);
    if (fixed) {
      team.fix(total);
    } else {
      team.unfix(total);
    }
    for (int worker : gang.workers()) {
      if (fixed) {
        fleet.reclaimable().take(worker, gang.perTask(), 1);
      } else {
        fleet.reclaimable().add(worker, gang.perTask(), 1);
      }
    }
  }
}
