package org.hickoryspar.kernel.scheduling;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** Explains in one sentence why a job waits and which action would let it start. */
final class Explainer {

  private final ClusterState state;
  private final GuaranteePlan plan;
  private final BackfillReservations reservations;
  private final DataCentreRamp ramp;

  Explainer(
      ClusterState state,
      GuaranteePlan plan,
      BackfillReservations reservations,
      DataCentreRamp ramp) {
    this.state = state;
    this.plan = plan;
    this.reservations = reservations;
    this.ramp = ramp;
  }

  String explain(String jobId) {
    Gang gang = state.gangs().get(jobId);
    if (gang != null) {
      String workers =
          String.join(", ", state.fleet().workerIds(gang.workers()).stream().distinct().toList());
      if (gang.isStopping()) {
        return "Job " + jobId + " is being stopped on " + workers + " and then waits again.";
      }
      return "Job "
          + jobId
          + " does not wait: it was placed on "
          + workers
          + (gang.guarantee() == null ? "." : " under a guarantee of its team.");
    }
    PendingPlacement pending = state.pendingPlacements().get(jobId);
    if (pending != null) {
      return explain(pending);
    }
    JobRequest job = state.waiting().get(jobId);
    return job == null ? "Job " + jobId + " does not wait: it is not known." : explain(job);
  }

  private String explain(PendingPlacement pending) {
    List<String> runningVictims =
        pending.victimJobIds().stream().filter(state.gangs()::containsKey).toList();
    String workers =
        String.join(", ", state.fleet().workerIds(pending.workers()).stream().distinct().toList());
    return "Job "
        + pending.job().jobId()
        + " starts on "
        + workers
        + ", which is reserved for it, as soon as "
        + (runningVictims.isEmpty()
            ? "jobs that are being stopped"
            : "jobs " + String.join(", ", runningVictims))
        + " have ended there.";
  }

  private String explain(JobRequest job) {
    String prefix = "Job " + job.jobId() + " waits because ";
    TeamState team = state.team(job.team());
    TeamPolicy policy = team.policy();
    if (policy == null) {
      return prefix
          + "team "
          + job.team()
          + " is not in the configuration; add the team or cancel the job.";
    }
    ResourceVector total = job.shape().perTask().times(job.shape().tasks());
    if (!team.hasQuotaFor(total)) {
      return prefix
          + "team "
          + job.team()
          + " holds "
          + Descriptions.resources(team.held())
          + " of its quota of "
          + Descriptions.resources(policy.quota())
          + " and the job needs "
          + Descriptions.resources(total)
          + "; end work of the team or raise the quota.";
    }
    if (!job.preemptible() && !team.hasQuotaForCommitted(total)) {
      return prefix
          + "the quota of team "
          + job.team()
          + " must cover its guarantees in addition to work that may not be preempted; raise the"
          + " quota or make the job preemptible.";
    }
    String shortage = describeShortage(job);
    return prefix + (shortage == null ? describeRestriction(job) : shortage);
  }

  private @Nullable String describeShortage(JobRequest job) {
    GangShape shape = job.shape();
    Fleet fleet = state.fleet();
    int totalTasks = 0;
    int maxTasks = 0;
    int unusableWorkers = 0;
    String maxTasksLocation = "any worker";
    for (int rack = 0; rack < fleet.rackCount(); rack++) {
      int rackTasks = 0;
      for (int worker : fleet.workersOfRack(rack)) {
        int tasks = fleet.free().countFitting(worker, shape.perTask());
        unusableWorkers += fleet.free().isUsable(worker) ? 0 : 1;
        rackTasks =
            shape.adjacency() == Adjacency.WORKER ? Math.max(rackTasks, tasks) : rackTasks + tasks;
        totalTasks += tasks;
      }
      if (rackTasks > maxTasks) {
        maxTasks = rackTasks;
        maxTasksLocation = "rack " + fleet.rackName(rack) + " in " + fleet.dataCentreOfRack(rack);
      }
    }
    int fittingTasks = shape.adjacency() == Adjacency.NONE ? totalTasks : maxTasks;
    if (fittingTasks >= shape.tasks()) {
      return null;
    }
    String unusableNote =
        unusableWorkers == 0
            ? ""
            : ", while "
                + unusableWorkers
                + " workers are out of service, silent or isolated and could be returned to"
                + " service";
    if (totalTasks >= shape.tasks()) {
      return "its "
          + shape.tasks()
          + " tasks must run"
          + Descriptions.location(shape.adjacency())
          + " and at most "
          + maxTasks
          + " fit, on "
          + maxTasksLocation
          + "; free capacity for "
          + totalTasks
          + " tasks is spread over several workers or racks"
          + unusableNote
          + ".";
    }
    return "free capacity holds "
        + totalTasks
        + " of its "
        + shape.tasks()
        + " tasks of "
        + Descriptions.resources(shape.perTask())
        + unusableNote
        + ".";
  }

  private String describeRestriction(JobRequest job) {
    if (!job.preemptible()) {
      List<GuaranteeState> unassigned = plan.unassigned();
      return unassigned.isEmpty()
          ? "it may not be preempted and would break guarantees if it used the free capacity;"
              + " make it preemptible or request a guaranteed shape."
          : "it may not be preempted and a guarantee of team "
              + unassigned.get(0).team()
              + " cannot be formed at the moment; make it preemptible or return workers to"
              + " service.";
    }
    if (!job.urgent() && ramp.isActive()) {
      return "a data centre has just returned to service and starts there are limited; it is tried"
          + " again within "
          + DataCentreRamp.RAMP_MILLIS / 1_000
          + " s.";
    }
    if (!job.urgent() && !reservations.isEmpty()) {
      return "the free capacity is set aside for larger jobs that have waited longer, and earlier"
          + " runs do not show that it would end in time.";
    }
    return "it has not been tried since capacity became free; it is tried at the next decision.";
  }
}
