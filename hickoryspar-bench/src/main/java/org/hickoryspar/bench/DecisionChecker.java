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

/** Checks each decision against the state of the fake platform. */
final class DecisionChecker {

  private static final int EXAMPLES = 5;

  private final SimulatedFleet occupancy;
  private final Packer packer;
  private final Scheduler scheduler;
  private final Map<String, TeamPolicy> teams = new HashMap<>();
  private final Map<InvariantViolation, Integer> counts = new EnumMap<>(InvariantViolation.class);
  private final List<String> examples = new ArrayList<>();

  DecisionChecker(SimulatedFleet occupancy, Scheduler scheduler, SchedulingConfig config) {
    this.occupancy = occupancy;
    this.packer = new Packer(occupancy);
    this.scheduler = scheduler;
    config.teams().forEach(team -> teams.put(team.team(), team));
  }

  Map<InvariantViolation, Integer> counts() {
    return counts;
  }

  List<String> examples() {
    return examples;
  }

  int total() {
    return counts.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns the number of broken promises that also a scheduler without guarantees must keep. */
  int totalWithoutGuarantees() {
    return total() - counts.getOrDefault(InvariantViolation.GUARANTEE, 0);
  }

  /** Checks a placement before it takes effect; returns whether the platform can carry it out. */
  boolean checkPlace(JobState job, Decision.Place place, long nowMillis) {
    int before = total();
    if (job.phase() != JobState.Phase.WAITING) {
      record(InvariantViolation.WRONG_STATE, nowMillis, job.id() + " was placed in " + job.phase());
      return false;
    }
    GangShape shape = job.request().shape();
    if (place.workers().size() != shape.tasks()) {
      record(
          InvariantViolation.PARTIAL_GANG,
          nowMillis,
          job.id() + " has " + shape.tasks() + " tasks, placed " + place.workers().size());
    }
    ResourceTable after = occupancy.free().copy();
    for (String id : place.workers()) {
      int index = occupancy.indexOf(id);
      if (index < 0 || !occupancy.isUsable(index)) {
        record(InvariantViolation.OUT_OF_SERVICE, nowMillis, job.id() + " was placed on " + id);
        return false;
      }
      after.add(index, shape.perTask(), -1);
      if (after.isOverdrawn(index)) {
        record(InvariantViolation.OVERCOMMIT, nowMillis, job.id() + " exceeds worker " + id);
        return false;
      }
    }
    long places =
        switch (shape.adjacency()) {
          case NONE -> 1;
          case WORKER -> place.workers().stream().distinct().count();
          case RACK ->
              place.workers().stream()
                  .map(id -> occupancy.rack(occupancy.indexOf(id)))
                  .distinct()
                  .count();
        };
    if (places > 1) {
      record(InvariantViolation.ADJACENCY, nowMillis, job.id() + " needs " + shape.adjacency());
    }
    if (exceedsQuota(job.request(), 0)) {
      record(InvariantViolation.QUOTA, nowMillis, job.id() + " exceeds the quota of its team");
    }
    return total() == before;
  }

  /** Checks a preemption; returns whether the platform can carry it out. */
  boolean checkPreempt(JobState job, long nowMillis) {
    if (!job.holdsResources()) {
      record(
          InvariantViolation.WRONG_STATE, nowMillis, job.id() + " was preempted in " + job.phase());
      return false;
    }
    if (!job.request().preemptible()) {
      record(InvariantViolation.NON_PREEMPTIBLE_PREEMPTED, nowMillis, job.id() + " was preempted");
      return false;
    }
    return true;
  }

  /** Checks that the gangs which one call placed leave every guarantee formable. */
  void checkGuarantees(List<JobState> placedNow, long nowMillis) {
    List<JobState> fixedNow =
        placedNow.stream().filter(job -> !SimulatedFleet.isReclaimable(job)).toList();
    if (fixedNow.isEmpty() || areGuaranteesFormable()) {
      return;
    }
    ResourceTable before = occupancy.reclaimable();
    fixedNow.forEach(job -> occupancy.addUsable(before, job, 1));
    Map<String, List<JobState>> fixedBefore = packer.fixedByTeam();
    fixedBefore.values().forEach(jobs -> jobs.removeAll(fixedNow));
    if (packer.packGuarantees(before, teams.values(), fixedBefore)) {
      record(
          InvariantViolation.GUARANTEE,
          nowMillis,
          "no room for all guarantees after " + fixedNow.stream().map(JobState::id).toList());
    }
  }

  boolean areGuaranteesFormable() {
    return packer.packGuarantees(occupancy.reclaimable(), teams.values(), packer.fixedByTeam())
        || isReportValid();
  }

  /** Returns whether an urgent job fits beside the earlier ones without breaking a guarantee. */
  boolean hasCapacityFor(JobRequest request, List<JobRequest> earlier) {
    int queued = 0;
    ResourceTable table = occupancy.reclaimable();
    for (JobRequest other : earlier) {
      packer.pack(table, other.shape());
      queued += other.team().equals(request.team()) ? Packer.accelerators(other.shape()) : 0;
    }
    return !exceedsQuota(request, queued)
        && packer.pack(table, request.shape()).isPresent()
        && packer.packGuarantees(table, teams.values(), packer.fixedByTeam());
  }

  boolean exceedsQuota(JobRequest request, int moreAccelerators) {
    TeamPolicy team = teams.get(request.team());
    if (team == null) {
      return false;
    }
    var held = occupancy.heldBy(request.team());
    var quota = team.quota();
    var perTask = request.shape().perTask();
    long tasks = request.shape().tasks();
    return held.cores() + tasks * perTask.cores() > quota.cores()
        || held.memoryMegabytes() + tasks * perTask.memoryMegabytes() > quota.memoryMegabytes()
        || held.accelerators() + moreAccelerators + tasks * perTask.accelerators()
            > quota.accelerators();
  }

  /** Returns whether the scheduler's own proposal forms all guarantees at once. */
  private boolean isReportValid() {
    List<GuaranteeReport> reports = scheduler.guarantees();
    long expected = teams.values().stream().mapToLong(team -> team.guarantees().size()).sum();
    if (reports.size() != expected) {
      return false;
    }
    ResourceTable table = occupancy.reclaimable();
    Map<String, List<JobState>> fixed = packer.fixedByTeam();
    for (TeamPolicy team : teams.values()) {
      ResourceTable own = table.copy();
      fixed.getOrDefault(team.team(), List.of()).forEach(job -> occupancy.addUsable(own, job, 1));
      for (GuaranteeReport report : reports) {
        if (report.team().equals(team.team()) && !takeReported(own, report)) {
          return false;
        }
      }
      table.limitTo(own);
    }
    return true;
  }

  private boolean takeReported(ResourceTable table, GuaranteeReport report) {
    GangShape shape = report.shape();
    List<Integer> indexes = report.workers().stream().map(occupancy::indexOf).toList();
    if (!report.formable() || indexes.size() != shape.tasks() || indexes.contains(-1)) {
      return false;
    }
    for (int index : indexes) {
      if (table.fitting(index, shape.perTask(), 1) < 1) {
        return false;
      }
      table.add(index, shape.perTask(), -1);
    }
    return switch (shape.adjacency()) {
      case NONE -> true;
      case WORKER -> indexes.stream().distinct().count() == 1;
      case RACK -> indexes.stream().map(occupancy::rack).distinct().count() == 1;
    };
  }

  private void record(InvariantViolation kind, long nowMillis, String detail) {
    counts.merge(kind, 1, Integer::sum);
    addExample(nowMillis, kind + ": " + detail);
  }

  /** Keeps the first faults of a run, so that they can be found again from the seed. */
  void addExample(long nowMillis, String detail) {
    if (examples.size() < EXAMPLES) {
      examples.add("at " + nowMillis + " ms: " + detail);
    }
  }
}
