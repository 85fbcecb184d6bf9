package org.hickoryspar.kernel.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.hickoryspar.kernel.value.Result;

/** Reports on guarantees, of the configuration in force and of one to be checked. */
final class GuaranteeReporter {

  /** Orders that a check tries; it runs once per change, so it may search longer. */
  private static final int CHECK_ROUNDS = 64;

  private final ClusterState state;
  private final GuaranteePlan plan;
  private final VictimSelector victims;

  GuaranteeReporter(ClusterState state, GuaranteePlan plan, VictimSelector victims) {
    this.state = state;
    this.plan = plan;
    this.victims = victims;
  }

  /** Returns one report per guarantee, ordered by team. */
  List<GuaranteeReport> reports(long nowMillis) {
    List<GuaranteeState> slots = new ArrayList<>(plan.slots());
    slots.sort(Comparator.comparing(GuaranteeState::team));
    Set<Gang> gone = new HashSet<>();
    List<GuaranteeReport> reports = new ArrayList<>();
    for (GuaranteeState slot : slots) {
      reports.add(report(slot, gone, nowMillis));
    }
    return reports;
  }

  private GuaranteeReport report(GuaranteeState slot, Set<Gang> gone, long nowMillis) {
    int[] workers = slot.plan();
    if (workers == null) {
      return new GuaranteeReport(
          slot.team(), slot.shape(), false, List.of(), List.of(), plan.missing(slot));
    }
    List<String> preempted = List.of();
    if (slot.isIdle()) {
      // The quota of the team is no obstacle here: its own work can be preempted as well.
      JobRequest asked = new JobRequest("", "", "", slot.shape(), false, 0, true, 0);
      VictimSelector.Selection selection =
          victims.select(asked, workers, gang -> true, gone, nowMillis);
      if (selection != null) {
        gone.addAll(selection.victims());
        preempted = selection.victims().stream().map(gang -> gang.job().jobId()).toList();
      }
    }
    return new GuaranteeReport(
        slot.team(), slot.shape(), true, state.fleet().names(workers), preempted, "");
  }

  /** Checks that the guarantees can be formed at once on the known workers when they are empty. */
  Result<Long> check(SchedulingConfig config, Set<String> placementPolicies) {
    if (!placementPolicies.contains(config.placementPolicy())) {
      return Result.failure(
          "unknown-placement-policy",
          "placement policy "
              + config.placementPolicy()
              + " is not registered; choose one of "
              + placementPolicies);
    }
    TreeMap<String, TeamPolicy> teams = new TreeMap<>();
    for (TeamPolicy team : config.teams()) {
      if (teams.put(team.team(), team) != null) {
        return Result.failure("duplicate-team", "team " + team.team() + " is listed twice");
      }
      ResourceVector sum = ResourceVector.NONE;
      for (GangShape shape : team.guarantees()) {
        sum = sum.plus(shape.perTask().times(shape.tasks()));
      }
      if (!sum.fitsIn(team.quota())) {
        return Result.failure(
            "guarantee-over-quota",
            "the guarantees of team "
                + team.team()
                + " need "
                + Descriptions.amount(sum)
                + ", more than its quota of "
                + Descriptions.amount(team.quota()));
      }
    }
    return checkFormable(config);
  }

  private Result<Long> checkFormable(SchedulingConfig config) {
    Fleet empty = new Fleet();
    for (int worker = 0; worker < state.fleet().bound(); worker++) {
      WorkerState known = state.fleet().state(worker);
      if (known != null) {
        empty.setUsable(empty.put(known), true);
      }
    }
    GuaranteePlan trial = new GuaranteePlan(empty);
    trial.define(config.teams());
    trial.repair(CHECK_ROUNDS);
    List<GuaranteeState> missing = trial.missing();
    if (missing.isEmpty()) {
      return Result.success(config.version());
    }
    String details =
        missing.stream()
            .map(
                slot ->
                    "team "
                        + slot.team()
                        + ", "
                        + Descriptions.shape(slot.shape())
                        + ": "
                        + trial.missing(slot))
            .collect(Collectors.joining(" "));
    String others =
        trial.slots().stream()
            .filter(slot -> slot.plan() != null)
            .map(GuaranteeState::team)
            .filter(Objects::nonNull)
            .distinct()
            .sorted()
            .collect(Collectors.joining(", "));
    return Result.failure(
        "guarantee-not-formable",
        "these guarantees cannot be formed at once"
            + (others.isEmpty() ? "" : " with those of teams " + others)
            + ": "
            + details);
  }
}
