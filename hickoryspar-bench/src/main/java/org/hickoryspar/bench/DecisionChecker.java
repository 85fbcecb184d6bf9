package org.hickoryspar.bench;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickoryspar.kernel.scheduling.Decision;
import org.hickoryspar.kernel.scheduling.GangShape;
import org.hickoryspar.kernel.scheduling.GuaranteeReport;
import org.hickoryspar.kernel.scheduling.JobRequest;
import org.hickoryspar.kernel.scheduling.Scheduler;
import org.hickoryspar.kernel.scheduling.SchedulingConfig;
import org.hickoryspar.kernel.scheduling.TeamPolicy;

/** Checks the invariants of a scheduler by comparing each decision with the simulated fleet. */
final class DecisionChecker {

  private static final int MAX_EXAMPLES = 5;

  private final SimulatedFleet fleet;
  private final Packer packer;
  private final Scheduler scheduler;
  private final Map<String, TeamPolicy> teams = new HashMap<>();
  private final Map<InvariantViolation, Integer> violationCounts =
      new EnumMap<>(InvariantViolation.class);
  private final List<String> examples = new ArrayList<>();

  DecisionChecker(SimulatedFleet fleet, Scheduler scheduler, SchedulingConfig config) {
    this.fleet = fleet;
    this.packer = new Packer(fleet);
    this.scheduler = scheduler;
    config.teams().forEach(team -> teams.put(team.team(), team));
  }

  Map<InvariantViolation, Integer> violationCounts() {
    return violationCounts;
  }

  List<String> examples() {
    return examples;
  }

  int totalViolations() {
    return violationCounts.values().stream().mapToInt(Integer::intValue).sum();
  }

  /**
   * Returns the number of violations other than those of guarantees, which a scheduler without
   * guarantees may violate.
   */
  int totalExceptGuarantees() {
    return totalViolations() - violationCounts.getOrDefault(InvariantViolation.GUARANTEE, 0);
  }

  /** Checks a placement before it takes effect; returns whether it violates no invariant. */
  boolean checkPlacement(JobState job, Decision.Place place, long nowMillis) {
    int violationsBefore = totalViolations();
    if (job.phase() != JobState.Phase.WAITING) {
      recordViolation(
          InvariantViolation.WRONG_STATE, nowMillis, job.id() + " was placed while " + job.phase());
      return false;
    }
    GangShape shape = job.request().shape();
    if (place.workers().size() != shape.tasks()) {
      recordViolation(
          InvariantViolation.PARTIAL_GANG,
          nowMillis,
          job.id()
              + " has "
              + shape.tasks()
              + " tasks, workers in its placement: "
              + place.workers().size());
    }
    ResourceTable remaining = fleet.free().copy();
    for (String id : place.workers()) {
      int index = fleet.indexOf(id);
      if (index < 0 || !fleet.isUsable(index)) {
        recordViolation(
            InvariantViolation.OUT_OF_SERVICE,
            nowMillis,
            job.id() + " was placed on unusable worker " + id);
        return false;
      }
      remaining.add(index, shape.perTask(), -1);
      if (remaining.isOvercommitted(index)) {
        recordViolation(
            InvariantViolation.OVERCOMMIT,
            nowMillis,
            job.id() + " exceeds the free resources of worker " + id);
        return false;
      }
    }
    long spannedDomains =
        switch (shape.adjacency()) {
          case NONE -> 1;
          case WORKER -> place.workers().stream().distinct().count();
          case RACK ->
              place.workers().stream().map(id -> fleet.rack(fleet.indexOf(id))).distinct().count();
        };
    if (spannedDomains > 1) {
      recordViolation(
          InvariantViolation.ADJACENCY,
          nowMillis,
          job.id() + " violates adjacency " + shape.adjacency());
    }
    if (exceedsQuota(job.request(), 0)) {
      recordViolation(
          InvariantViolation.QUOTA, nowMillis, job.id() + " exceeds the quota of its team");
    }
    return totalViolations() == violationsBefore;
  }

  /** Checks a preemption before it takes effect; returns whether it violates no invariant. */
  boolean checkPreemption(JobState job, long nowMillis) {
    if (!job.holdsResources()) {
      recordViolation(
          InvariantViolation.WRONG_STATE,
          nowMillis,
          job.id() + " was preempted while " + job.phase());
      return false;
    }
    if (!job.request().preemptible()) {
      recordViolation(
          InvariantViolation.NON_PREEMPTIBLE_PREEMPTED, nowMillis, job.id() + " was preempted");
      return false;
    }
    return true;
  }

  /**
   * Checks that the gangs placed by one call of {@code decide} do not prevent guarantees that could
   * be formed before the call.
   */
  void checkGuarantees(List<JobState> placedJobs, long nowMillis) {
    List<JobState> committedJobs =
        placedJobs.stream().filter(job -> !SimulatedFleet.isPreemptibleOrStopping(job)).toList();
    if (committedJobs.isEmpty() || areGuaranteesFormable()) {
      return;
    }
    ResourceTable capacityBefore = fleet.freeAfterPreemption();
    committedJobs.forEach(job -> fleet.addOnUsableWorkers(capacityBefore, job, 1));
    Map<String, List<JobState>> committedBefore = packer.committedByTeam();
    committedBefore.values().forEach(jobs -> jobs.removeAll(committedJobs));
    if (packer.packGuarantees(capacityBefore, teams.values(), committedBefore)) {
      recordViolation(
          InvariantViolation.GUARANTEE,
          nowMillis,
          "guarantees cannot be formed after the placement of "
              + committedJobs.stream().map(JobState::id).toList());
    }
  }

  boolean areGuaranteesFormable() {
    return packer.packGuarantees(
            fleet.freeAfterPreemption(), teams.values(), packer.committedByTeam())
        || isSchedulerReportFeasible();
  }

  /**
   * Returns whether an urgent job fits in addition to the earlier ones without breaking a
   * guarantee.
   */
  boolean hasCapacityFor(JobRequest request, List<JobRequest> earlierJobs) {
    int queuedAccelerators = 0;
    ResourceTable table = fleet.freeAfterPreemption();
    for (JobRequest earlierJob : earlierJobs) {
      packer.pack(table, earlierJob.shape());
      queuedAccelerators +=
          earlierJob.team().equals(request.team())
              ? Packer.totalAccelerators(earlierJob.shape())
              : 0;
    }
    return !exceedsQuota(request, queuedAccelerators)
        && packer.pack(table, request.shape()).isPresent()
        && packer.packGuarantees(table, teams.values(), packer.committedByTeam());
  }

  boolean exceedsQuota(JobRequest request, int additionalAccelerators) {
    TeamPolicy team = teams.get(request.team());
    if (team == null) {
      return false;
    }
    var held = fleet.heldBy(request.team());
    var quota = team.quota();
    var perTask = request.shape().perTask();
    long tasks = request.shape().tasks();
    return held.cores() + tasks * perTask.cores() > quota.cores()
        || held.memoryMegabytes() + tasks * perTask.memoryMegabytes() > quota.memoryMegabytes()
        || held.accelerators() + additionalAccelerators + tasks * perTask.accelerators()
            > quota.accelerators();
  }

  /** Returns whether the placements reported by the scheduler form all guarantees at once. */
  private boolean isSchedulerReportFeasible() {
    List<GuaranteeReport> reports = scheduler.guarantees();
    long expectedReports =
        teams.values().stream().mapToLong(team -> team.guarantees().size()).sum();
    if (reports.size() != expectedReports) {
      return false;
    }
    ResourceTable table = fleet.freeAfterPreemption();
    Map<String, List<JobState>> committedByTeam = packer.committedByTeam();
    for (TeamPolicy team : teams.values()) {
      ResourceTable teamTable = table.copy();
      committedByTeam
          .getOrDefault(team.team(), List.of())
          .forEach(job -> fleet.addOnUsableWorkers(teamTable, job, 1));
      for (GuaranteeReport report : reports) {
        if (report.team().equals(team.team()) && !subtractReported(teamTable, report)) {
          return false;
        }
      }
      table.limitTo(teamTable);
    }
    return true;
  }

  private boolean subtractReported(ResourceTable table, GuaranteeReport report) {
    GangShape shape = report.shape();
    List<Integer> indexes = report.workers().stream().map(fleet::indexOf).toList();
    if (!report.formable() || indexes.size() != shape.tasks() || indexes.contains(-1)) {
      return false;
    }
    for (int index : indexes) {
      if (table.countFitting(index, shape.perTask(), 1) < 1) {
        return false;
      }
      table.add(index, shape.perTask(), -1);
    }
    return switch (shape.adjacency()) {
      case NONE -> true;
      case WORKER -> indexes.stream().distinct().count() == 1;
      case RACK -> indexes.stream().map(fleet::rack).distinct().count() == 1;
    };
  }

  private void recordViolation(InvariantViolation kind, long nowMillis, String detail) {
    violationCounts.merge(kind, 1, Integer::sum);
    addExample(nowMillis, kind + ": " + detail);
  }

  /**
   * Records one of the first {@value #MAX_EXAMPLES} examples of a run. The seed of the run and the
   * time reproduce it.
   */
  void addExample(long nowMillis, String detail) {
    if (examples.size() < MAX_EXAMPLES) {
      examples.add("at " + nowMillis + " ms: " + detail);
    }
  }
}
