package org.hickoryspar.kernel.scheduling;

import java.util.List;
import org.jspecify.annotations.Nullable;

/** Explains in one sentence why a job waits, and what would let it start. */
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
      String where =
          String.join(", ", state.fleet().names(gang.workers()).stream().distinct().toList());
      if (gang.isStopping()) {
        return "Job " + jobId + " is being stopped on " + where + " and then waits again.";
      }
      return "Job "
          + jobId
          + " does not wait: it was placed on "
          + where
          + (gang.slot() == null ? "." : " under a guarantee of its team.");
    }
    PendingPlacement claim = state.claims().get(jobId);
    if (claim != null) {
      return explain(claim);
    }
    JobRequest job = state.waiting().get(jobId);
    return job == null ? "Job " + jobId + " does not wait: it is not known." : explain(job);
  }

  private String explain(PendingPlacement claim) {
    List<String> running = claim.victims().stream().filter(state.gangs()::containsKey).toList();
    String place =
        String.join(", ", state.fleet().names(claim.workers()).stream().distinct().toList());
    return "Job "
        + claim.job().jobId()
        + " starts on "
        + place
        + ", which is reserved for it, as soon as "
        + (running.isEmpty() ? "jobs that are being stopped" : "jobs " + String.join(", ", running))
        + " have ended there.";
  }

  private String explain(JobRequest job) {
    String waits = "Job " + job.jobId() + " waits because ";
    TeamState team = state.team(job.team());
    TeamPolicy policy = team.policy();
    if (policy == null) {
      return waits
          + "team "
          + job.team()
          + " is not in the configuration; add the team or cancel the job.";
    }
    ResourceVector total = job.shape().perTask().times(job.shape().tasks());
    if (!team.hasQuotaFor(total)) {
      return waits
          + "team "
          + job.team()
          + " holds "
          + Descriptions.amount(team.held())
          + " of its quota of "
          + Descriptions.amount(policy.quota())
          + " and the job needs "
          + Descriptions.amount(total)
          + "; end work of the team or raise the quota.";
    }
    if (!job.preemptible() && !team.hasQuotaForFixed(total)) {
      return waits
          + "the quota of team "
          + job.team()
          + " must leave room for its guarantees next to work that may not be preempted; raise the"
          + " quota or make the job preemptible.";
    }
    String capacity = capacityProblem(job);
    return waits + (capacity == null ? restriction(job) : capacity);
  }

  private @Nullable String capacityProblem(JobRequest job) {
    GangShape shape = job.shape();
    Fleet fleet = state.fleet();
    int sum = 0;
    int best = 0;
    int unusable = 0;
    String where = "any worker";
    for (int rack = 0; rack < fleet.racks(); rack++) {
      int inRack = 0;
      for (int worker : fleet.membersOfRack(rack)) {
        int tasks = fleet.free().count(worker, shape.perTask());
        unusable += fleet.free().isUsable(worker) ? 0 : 1;
        inRack = shape.adjacency() == Adjacency.WORKER ? Math.max(inRack, tasks) : inRack + tasks;
        sum += tasks;
      }
      if (inRack > best) {
        best = inRack;
        where = "rack " + fleet.rackName(rack) + " in " + fleet.dataCentreOfRack(rack);
      }
    }
    int fitting = shape.adjacency() == Adjacency.NONE ? sum : best;
    if (fitting >= shape.tasks()) {
      return null;
    }
    String out =
        unusable == 0
            ? ""
            : ", while " + unusable + " workers are out, silent or isolated and could be returned";
    if (sum >= shape.tasks()) {
      return "its "
          + shape.tasks()
          + " tasks must run"
          + Descriptions.where(shape.adjacency())
          + " and at most "
          + best
          + " fit, on "
          + where
          + "; free capacity for "
          + sum
          + " tasks is spread over other places"
          + out
          + ".";
    }
    return "free capacity holds "
        + sum
        + " of its "
        + shape.tasks()
        + " tasks of "
        + Descriptions.amount(shape.perTask())
        + out
        + ".";
  }

  private String restriction(JobRequest job) {
    if (!job.preemptible()) {
      List<GuaranteeState> missing = plan.missing();
      return missing.isEmpty()
          ? "it may not be preempted and would stand in the way of guarantees on the free capacity;"
              + " make it preemptible or ask for a guaranteed shape."
          : "it may not be preempted and a guarantee of team "
              + missing.get(0).team()
              + " cannot be formed at the moment; make it preemptible or return workers.";
    }
    if (!job.urgent() && ramp.isActive()) {
      return "a data centre has just returned and is filled step by step; it is tried again within"
          + " "
          + DataCentreRamp.RAMP_MILLIS / 1_000
          + " s.";
    }
    if (!job.urgent() && !reservations.isEmpty()) {
      return "the free capacity is kept for larger jobs that waited before it, and nothing shows"
          + " that it ends in time.";
    }
    return "it has not been tried since capacity became free; it is tried at the next decision.";
  }
}
