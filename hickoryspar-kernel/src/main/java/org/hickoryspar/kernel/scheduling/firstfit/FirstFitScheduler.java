package org.hickoryspar.kernel.scheduling.firstfit;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.hickoryspar.kernel.scheduling.Decision;
import org.hickoryspar.kernel.scheduling.EndReason;
import org.hickoryspar.kernel.scheduling.GangShape;
import org.hickoryspar.kernel.scheduling.GuaranteeReport;
import org.hickoryspar.kernel.scheduling.JobRequest;
import org.hickoryspar.kernel.scheduling.ResourceVector;
import org.hickoryspar.kernel.scheduling.RunningGang;
import org.hickoryspar.kernel.scheduling.Scheduler;
import org.hickoryspar.kernel.scheduling.SchedulingConfig;
import org.hickoryspar.kernel.scheduling.TeamPolicy;
import org.hickoryspar.kernel.scheduling.WorkerState;
import org.hickoryspar.kernel.value.Result;

/**
 * Places each waiting job on the first workers that fit, in queue order.
 *
 * <p>A job that does not fit is skipped. Quotas are enforced; there are no reservations,
 * guarantees, preemptions or priorities, and no worker is isolated. A job avoids the workers on
 * which it failed and is rejected after {@value #MAX_FAILURES} failures; otherwise the first worker
 * in order could receive the same job over and over although every task fails on it.
 */
public final class FirstFitScheduler implements Scheduler {

  /** High enough that a few faulty workers do not cause the rejection of a healthy job. */
  static final int MAX_FAILURES = 10;

  private final TreeMap<String, FreeCapacity> capacities = new TreeMap<>();
  private final TreeMap<String, Map<String, FreeCapacity>> capacitiesByRack = new TreeMap<>();
  private final Map<String, ResourceVector> heldByWorker = new HashMap<>();
  private final Map<String, ResourceVector> heldByTeam = new HashMap<>();
  private final Map<String, JobRequest> waiting = new LinkedHashMap<>();
  private final Map<String, RunningGang> running = new HashMap<>();
  private final Map<String, Set<String>> avoidedWorkers = new HashMap<>();
  private final Map<String, Integer> failures = new HashMap<>();
  private final Set<GangShape> unplaceableShapes = new HashSet<>();
  private Map<String, TeamPolicy> teams = Map.of();
  private Set<String> dataCentresOut = Set.of();
  private Set<String> workersOut = Set.of();

  /** Creates a scheduler without workers, jobs or configuration. */
  public FirstFitScheduler() {}

  /** Accepts every configuration, because this scheduler gives no guarantee. */
  @Override
  public Result<Long> check(SchedulingConfig config) {
    return Result.success(requireNonNull(config, "config is null").version());
  }

  @Override
  public void configure(SchedulingConfig config) {
    requireNonNull(config, "config is null");
    Map<String, TeamPolicy> policies = new HashMap<>();
    config.teams().forEach(policy -> policies.put(policy.team(), policy));
    teams = policies;
    dataCentresOut = config.dataCentresOut();
    workersOut = config.workersOut();
    unplaceableShapes.clear();
  }

  @Override
  public void workerChanged(WorkerState worker) {
    requireNonNull(worker, "worker is null");
    workerRemoved(worker.workerId());
    FreeCapacity capacity =
        new FreeCapacity(worker, heldByWorker.getOrDefault(worker.workerId(), ResourceVector.NONE));
    capacities.put(worker.workerId(), capacity);
    capacitiesByRack
        .computeIfAbsent(rackKey(worker), key -> new TreeMap<>())
        .put(worker.workerId(), capacity);
    unplaceableShapes.clear();
  }

  @Override
  public void workerRemoved(String workerId) {
    FreeCapacity removed = capacities.remove(requireNonNull(workerId, "workerId is null"));
    if (removed != null) {
      String key = rackKey(removed.worker());
      Map<String, FreeCapacity> rack = capacitiesByRack.getOrDefault(key, Map.of());
      rack.remove(workerId);
      if (rack.isEmpty()) {
        capacitiesByRack.remove(key);
      }
    }
  }

  @Override
  public void jobQueued(JobRequest job) {
    requireNonNull(job, "job is null");
    waiting.put(job.jobId(), job);
  }

  @Override
  public void jobRemoved(String jobId) {
    if (waiting.remove(requireNonNull(jobId, "jobId is null")) != null) {
      clearFailures(jobId);
    }
  }

  @Override
  public void gangRecovered(RunningGang gang) {
    requireNonNull(gang, "gang is null");
    waiting.remove(gang.job().jobId());
    allocate(gang);
  }

  /** Does nothing: this scheduler never preempts, so the cost of a preemption is not needed. */
  @Override
  public void gangCheckpointed(String jobId, long checkpointMillis) {
    requireNonNull(jobId, "jobId is null");
  }

  @Override
  public void gangEnded(
      String jobId, EndReason reason, List<String> faultyWorkers, long endedMillis) {
    requireNonNull(jobId, "jobId is null");
    requireNonNull(reason, "reason is null");
    requireNonNull(faultyWorkers, "faultyWorkers is null");
    RunningGang gang = running.remove(jobId);
    if (gang == null) {
      return;
    }
    adjustHeld(gang, -1);
    unplaceableShapes.clear();
    switch (reason) {
      case COMPLETED, CANCELLED -> clearFailures(jobId);
      case TASK_FAILED -> {
        failures.merge(jobId, 1, Integer::sum);
        avoidedWorkers.computeIfAbsent(jobId, key -> new HashSet<>()).addAll(faultyWorkers);
        waiting.put(jobId, gang.job());
      }
      case UNDONE, PREEMPTED -> waiting.put(jobId, gang.job());
      default -> throw new IllegalArgumentException("unknown end reason " + reason);
    }
  }

  @Override
  public List<Decision> decide(long nowMillis) {
    List<Decision> decisions = new ArrayList<>();
    Iterator<JobRequest> jobs = waiting.values().iterator();
    while (jobs.hasNext()) {
      JobRequest job = jobs.next();
      if (failures.getOrDefault(job.jobId(), 0) >= MAX_FAILURES) {
        jobs.remove();
        clearFailures(job.jobId());
        decisions.add(new Decision.Reject(job.jobId(), "the job failed 10 times"));
        continue;
      }
      Optional<List<String>> placement = findPlacement(job);
      if (placement.isPresent()) {
        jobs.remove();
        allocate(new RunningGang(job, placement.get(), nowMillis, nowMillis, false));
        decisions.add(new Decision.Place(job.jobId(), placement.get()));
      }
    }
    return decisions;
  }

  @Override
  public String explain(String jobId, long nowMillis) {
    JobRequest job = waiting.get(requireNonNull(jobId, "jobId is null"));
    if (job == null) {
      return "Job " + jobId + " does not wait.";
    }
    if (exceedsQuota(job)) {
      return "Job " + jobId + " waits because team " + job.team() + " has reached its quota.";
    }
    return "Job " + jobId + " waits for free workers that fit its tasks and adjacency.";
  }

  /** Returns no reports, because this scheduler gives no guarantee. */
  @Override
  public List<GuaranteeReport> guarantees() {
    return List.of();
  }

  /** Returns no workers, because this scheduler isolates none. */
  @Override
  public List<String> isolatedWorkers() {
    return List.of();
  }

  private Optional<List<String>> findPlacement(JobRequest job) {
    GangShape shape = job.shape();
    if (exceedsQuota(job) || unplaceableShapes.contains(shape)) {
      return Optional.empty();
    }
    Set<String> avoided = avoidedWorkers.getOrDefault(job.jobId(), Set.of());
    Optional<List<String>> placement =
        switch (shape.adjacency()) {
          case NONE -> fill(capacities.values(), shape, avoided);
          case WORKER -> findOnSingleWorker(shape, avoided);
          case RACK -> findInRack(shape, avoided);
        };
    if (placement.isEmpty() && avoided.isEmpty()) {
      unplaceableShapes.add(shape);
    }
    return placement;
  }

  private Optional<List<String>> findOnSingleWorker(GangShape shape, Set<String> avoided) {
    return capacities.values().stream()
        .filter(capacity -> countFitting(capacity, shape, shape.tasks(), avoided) == shape.tasks())
        .findFirst()
        .map(capacity -> Collections.nCopies(shape.tasks(), capacity.worker().workerId()));
  }

  private Optional<List<String>> findInRack(GangShape shape, Set<String> avoided) {
    return capacitiesByRack.values().stream()
        .map(rack -> fill(rack.values(), shape, avoided))
        .flatMap(Optional::stream)
        .findFirst();
  }

  private Optional<List<String>> fill(
      Collection<FreeCapacity> candidates, GangShape shape, Set<String> avoided) {
    List<String> placed = new ArrayList<>();
    for (FreeCapacity capacity : candidates) {
      int count = countFitting(capacity, shape, shape.tasks() - placed.size(), avoided);
      for (int i = 0; i < count; i++) {
        placed.add(capacity.worker().workerId());
      }
      if (placed.size() == shape.tasks()) {
        return Optional.of(placed);
      }
    }
    return Optional.empty();
  }

  private int countFitting(FreeCapacity capacity, GangShape shape, int limit, Set<String> avoided) {
    WorkerState worker = capacity.worker();
    boolean usable =
        worker.available()
            && !dataCentresOut.contains(worker.dataCentre())
            && !workersOut.contains(worker.workerId())
            && !avoided.contains(worker.workerId());
    return usable ? capacity.countFitting(shape.perTask(), limit) : 0;
  }

  private boolean exceedsQuota(JobRequest job) {
    TeamPolicy policy = teams.get(job.team());
    if (policy == null) {
      return false;
    }
    ResourceVector held = heldByTeam.getOrDefault(job.team(), ResourceVector.NONE);
    ResourceVector quota = policy.quota();
    ResourceVector perTask = job.shape().perTask();
    // The products are of type long, because those of a job that can never fit may overflow an int.
    long tasks = job.shape().tasks();
    return held.cores() + tasks * perTask.cores() > quota.cores()
        || held.memoryMegabytes() + tasks * perTask.memoryMegabytes() > quota.memoryMegabytes()
        || held.accelerators() + tasks * perTask.accelerators() > quota.accelerators();
  }

  private void allocate(RunningGang gang) {
    running.put(gang.job().jobId(), gang);
    adjustHeld(gang, 1);
  }

  /** Adds the resources of a gang to those held, or subtracts them if the sign is negative. */
  private void adjustHeld(RunningGang gang, int sign) {
    ResourceVector perTask = gang.job().shape().perTask();
    for (String workerId : gang.workers()) {
      heldByWorker.merge(workerId, perTask, (held, task) -> adjust(held, task, sign));
      FreeCapacity capacity = capacities.get(workerId);
      if (capacity != null) {
        capacity.subtract(perTask, sign);
      }
    }
    heldByTeam.merge(
        gang.job().team(),
        perTask.times(gang.workers().size()),
        (held, tasks) -> adjust(held, tasks, sign));
  }

  private static ResourceVector adjust(ResourceVector held, ResourceVector amount, int sign) {
    return sign > 0 ? held.plus(amount) : held.minus(amount);
  }

  private void clearFailures(String jobId) {
    failures.remove(jobId);
    avoidedWorkers.remove(jobId);
  }

  private static String rackKey(WorkerState worker) {
    return worker.dataCentre() + '/' + worker.rack();
  }
}
