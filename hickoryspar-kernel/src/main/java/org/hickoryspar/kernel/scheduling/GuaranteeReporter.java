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

/** Reports the state of the guarantees, and checks those of a new configuration. */
final class GuaranteeReporter {

  /** Maximum number of orders tried by a check, which may be slow: it runs once per change. */
  private static final int CHECK_REPAIR_ROUNDS = 64;

  private final ClusterState state;
  private final GuaranteePlan plan;
  private final VictimSelector victimSelector;

  GuaranteeReporter(ClusterState state, GuaranteePlan plan, VictimSelector victimSelector) {
    this.state = state;
    this.plan = plan;
    this.victimSelector = victimSelector;
  }

  /** Returns one report per guarantee, ordered by team. */
  List<GuaranteeReport> reports(long nowMillis) {
    List<GuaranteeState> guarantees = new ArrayList<>(plan.guarantees());
    guarantees.sort(Comparator.comparing(GuaranteeState::team));
    Set<Gang> preempted = new HashSet<>();
    List<GuaranteeReport> reports = new ArrayList<>();
    for (GuaranteeState guarantee : guarantees) {
      reports.add(report(guarantee, preempted, nowMillis));
    }
    return reports;
  }

  private GuaranteeReport report(GuaranteeState guarantee, Set<Gang> preempted, long nowMillis) {
    int[] workers = guarantee.plannedWorkers();
    if (workers == null) {
      return new GuaranteeReport(
          guarantee.team(),
          guarantee.shape(),
          false,
          List.of(),
          List.of(),
          plan.describeShortage(guarantee));
    }
    List<String> wouldPreempt = List.of();
    if (guarantee.isIdle()) {
      // The quota of the team does not matter here, as its own work can be preempted as well.
      JobRequest request = new JobRequest("", "", "", guarantee.shape(), false, 0, true, 0);
      VictimSelector.Selection selection =
          victimSelector.select(request, workers, gang -> true, preempted, nowMillis);
      if (selection != null) {
        preempted.addAll(selection.victims());
        wouldPreempt = selection.victims().stream().map(gang -> gang.job().jobId()).toList();
      }
    }
    return new GuaranteeReport(
        guarantee.team(),
        guarantee.shape(),
        true,
        state.fleet().workerIds(workers),
        wouldPreempt,
        "");
  }

  /**
   * Checks a configuration: policy, teams and quotas, and that all guarantees can be formed at the
   * same time on the known workers when idle.
   */
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
                + Descriptions.resources(sum)
                + ", more than its quota of "
                + Descriptions.resources(team.quota()));
      }
    }
    return checkFormable(config);
  }

  private Result<Long> checkFormable(SchedulingConfig config) {
    Fleet emptyFleet = new Fleet();
    for (int number = 0; number < state.fleet().workerNumberLimit(); number++) {
      WorkerState worker = state.fleet().state(number);
      if (worker != null) {
        emptyFleet.setUsable(emptyFleet.put(worker), true);
      }
    }
    GuaranteePlan trialPlan = new GuaranteePlan(emptyFleet);
    trialPlan.define(config.teams());
    trialPlan.repair(CHECK_REPAIR_ROUNDS);
    List<GuaranteeState> unassigned = trialPlan.unassigned();
    if (unassigned.isEmpty()) {
      return Result.success(config.version());
    }
    String details =
        unassigned.stream()
            .map(
                guarantee ->
                    "team "
                        + guarantee.team()
                        + ", "
                        + Descriptions.shape(guarantee.shape())
                        + ": "
                        + trialPlan.describeShortage(guarantee))
            .collect(Collectors.joining(" "));
    String formableTeams =
        trialPlan.guarantees().stream()
            .filter(guarantee -> guarantee.plannedWorkers() != null)
            .map(GuaranteeState::team)
            .filter(Objects::nonNull)
            .distinct()
            .sorted()
            .collect(Collectors.joining(", "));
    return Result.failure(
        "guarantee-not-formable",
        "these guarantees cannot be formed at once"
            + (formableTeams.isEmpty() ? "" : " with those of teams " + formableTeams)
            + ": "
            + details);
  }
}
