package org.hickoryspar.standins.platform;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.hickoryspar.kernel.scheduling.ResourceVector;
import org.hickoryspar.kernel.scheduling.WorkerState;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.platform.Platform;

/**
 * Simulates the platform in memory: its workers run simulated tasks, which succeed after their
 * declared run time.
 *
 * <p>There is no timer: calls on tasks first apply the state changes that are due by the clock.
 * Thread-safe.
 */
public final class SimulatedPlatform implements Platform {

  /** Time for which the usage report includes a task after its end. */
  private static final long ENDED_TASK_REPORT_MILLIS = 60_000;

  private final Map<String, WorkerState> workers = new TreeMap<>();
  private final Map<String, SimulatedTask> tasks = new LinkedHashMap<>();
  private final Map<String, Long> highestTokens = new HashMap<>();
  private final AtomicInteger refusedPrepares = new AtomicInteger();
  private final LongSupplier clockMillis;
  private PlatformFaults faults = PlatformFaults.NONE;

  /**
   * Creates a platform without tasks and faults.
   *
   * @param workers workers with their total capacity
   * @param clockMillis monotonic clock in milliseconds
   */
  public SimulatedPlatform(List<WorkerState> workers, LongSupplier clockMillis) {
    this.clockMillis = requireNonNull(clockMillis, "clockMillis is null");
    for (WorkerState worker : workers) {
      this.workers.put(worker.workerId(), worker);
    }
  }

  /**
   * Replaces all faults.
   *
   * @param newFaults faults to inject from now on
   */
  public synchronized void setFaults(PlatformFaults newFaults) {
    advanceTasks();
    faults = requireNonNull(newFaults, "newFaults is null");
    refusedPrepares.set(newFaults.refusedPrepares());
  }

  /**
   * Returns the faults that are being injected.
   *
   * @return the current faults
   */
  public synchronized PlatformFaults faults() {
    return faults;
  }

  @Override
  public synchronized Result<List<WorkerState>> inventory() {
    List<WorkerState> presentWorkers = new ArrayList<>();
    for (WorkerState worker : workers.values()) {
      if (!faults.removedDataCentres().contains(worker.dataCentre())) {
        presentWorkers.add(
            new WorkerState(
                worker.workerId(),
                worker.rack(),
                worker.dataCentre(),
                worker.capacity(),
                !isSilent(worker.workerId())));
      }
    }
    return Result.success(presentWorkers);
  }

  @Override
  public synchronized Result<String> prepare(PrepareRequest request) {
    requireNonNull(request, "request is null");
    advanceTasks();
    WorkerState worker = workers.get(request.workerId());
    if (worker == null || faults.removedDataCentres().contains(worker.dataCentre())) {
      return Result.failure("no-worker", "unknown worker " + request.workerId());
    }
    if (isSilent(worker.workerId())) {
      return Result.failure("unreachable", "worker " + worker.workerId() + " does not respond");
    }
    if (refusedPrepares.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
      return Result.failure("no-capacity", "rejected by an injected fault");
    }
    if (isStaleToken(worker.workerId(), request.fencingToken())) {
      return Result.failure(
          "stale-token", "worker " + worker.workerId() + " has received a higher fencing token");
    }
    SimulatedTask existing = tasks.get(request.leaseId());
    if (existing != null) {
      return existing.state().holdsResources()
          ? Result.success(request.leaseId())
          : Result.failure("no-lease", "lease " + request.leaseId() + " has ended");
    }
    if (!request.resources().fitsIn(freeResources(worker))) {
      return Result.failure(
          "no-capacity", "insufficient free capacity on worker " + worker.workerId());
    }
    tasks.put(request.leaseId(), new SimulatedTask(request, clockMillis.getAsLong()));
    return Result.success(request.leaseId());
  }

  @Override
  public synchronized Result<String> start(String leaseId, long fencingToken) {
    return findTask(leaseId, fencingToken)
        .flatMap(
            task -> {
              long nowMillis = clockMillis.getAsLong();
              if (task.state() == SimulatedTask.State.RUNNING) {
                return Result.success(leaseId);
              }
              if (task.state() != SimulatedTask.State.PREPARED) {
                return Result.failure("no-lease", "lease " + leaseId + " has ended");
              }
              if (!task.canStart(nowMillis)) {
                return Result.failure("too-late", "the start deadline has passed");
              }
              task.start(nowMillis);
              return Result.success(leaseId);
            });
  }

  @Override
  public synchronized Result<List<String>> renew(
      List<String> leaseIds, long fencingToken, long leaseMillis) {
    List<String> renewed = new ArrayList<>();
    for (String leaseId : leaseIds) {
      findTask(leaseId, fencingToken)
          .map(
              task -> {
                if (task.state().holdsResources()) {
                  task.renew(clockMillis.getAsLong(), leaseMillis);
                  renewed.add(leaseId);
                }
                return leaseId;
              });
    }
    return Result.success(renewed);
  }

  @Override
  public synchronized Result<String> checkpoint(String leaseId, long fencingToken) {
    return findTask(leaseId, fencingToken)
        .map(
            task -> {
              task.checkpoint();
              return leaseId;
            });
  }

  @Override
  public synchronized Result<String> throttle(String leaseId, long fencingToken, int percent) {
    return findTask(leaseId, fencingToken)
        .map(
            task -> {
              task.throttle(percent);
              return leaseId;
            });
  }

  @Override
  public synchronized Result<String> stop(String leaseId, long fencingToken) {
    if (!tasks.containsKey(leaseId)) {
      return Result.success(leaseId);
    }
    return findTask(leaseId, fencingToken)
        .flatMap(
            task -> {
              if (faults.ignoreStopsOn().contains(task.request().workerId())
                  && task.state().holdsResources()) {
                return Result.failure("unreachable", "the worker did not confirm the stop");
              }
              task.end(SimulatedTask.State.STOPPED, clockMillis.getAsLong());
              return Result.success(leaseId);
            });
  }

  @Override
  public synchronized Result<List<TaskReport>> usage() {
    advanceTasks();
    long nowMillis = clockMillis.getAsLong();
    List<TaskReport> reports = new ArrayList<>();
    for (SimulatedTask task : tasks.values()) {
      boolean reported =
          task.state().holdsResources()
              || nowMillis - task.endedMillis() < ENDED_TASK_REPORT_MILLIS;
      if (reported && !isSilent(task.request().workerId())) {
        reports.add(
            new TaskReport(
                task.request().leaseId(),
                task.request().workerId(),
                task.state().name().toLowerCase(Locale.ROOT),
                task.state() == SimulatedTask.State.RUNNING ? task.throttlePercent() : 0,
                task.resources().memoryMegabytes(),
                task.endedMillis() < 0 ? 0 : nowMillis - task.endedMillis()));
      }
    }
    return Result.success(reports);
  }

  /**
   * Lists all tasks that were ever prepared, so that tests can check which tasks ran and when.
   *
   * @return one row per lease, in the order of preparation
   */
  public synchronized List<TaskHistory> history() {
    advanceTasks();
    List<TaskHistory> rows = new ArrayList<>();
    for (SimulatedTask task : tasks.values()) {
      PrepareRequest request = task.request();
      WorkerState worker = workers.get(request.workerId());
      rows.add(
          new TaskHistory(
              request.jobId(),
              request.task(),
              request.leaseId(),
              request.workerId(),
              worker == null ? "" : worker.rack(),
              worker == null ? "" : worker.dataCentre(),
              task.state().name().toLowerCase(Locale.ROOT),
              task.startedMillis(),
              task.endedMillis(),
              task.starts(),
              task.checkpoints()));
    }
    return rows;
  }

  /**
   * Returns the task, or a failure if the lease is unknown, the worker silent or the token stale.
   */
  private Result<SimulatedTask> findTask(String leaseId, long fencingToken) {
    advanceTasks();
    SimulatedTask task = tasks.get(leaseId);
    if (task == null) {
      return Result.failure("no-lease", "unknown lease " + leaseId);
    }
    String workerId = task.request().workerId();
    if (isSilent(workerId)) {
      return Result.failure("unreachable", "worker " + workerId + " does not respond");
    }
    if (isStaleToken(workerId, fencingToken)) {
      return Result.failure(
          "stale-token", "worker " + workerId + " has received a higher fencing token");
    }
    return Result.success(task);
  }

  /** Records the token and returns whether the worker has received a higher one. */
  private boolean isStaleToken(String workerId, long fencingToken) {
    long highest = highestTokens.merge(workerId, fencingToken, Math::max);
    return fencingToken < highest;
  }

  private boolean isSilent(String workerId) {
    WorkerState worker = workers.get(workerId);
    return faults.silentWorkers().contains(workerId)
        || (worker != null && faults.removedDataCentres().contains(worker.dataCentre()));
  }

  private ResourceVector freeResources(WorkerState worker) {
    ResourceVector free = worker.capacity();
    for (SimulatedTask task : tasks.values()) {
      if (task.state().holdsResources() && task.request().workerId().equals(worker.workerId())) {
        free = free.minus(task.resources());
      }
    }
    return free;
  }

  private void advanceTasks() {
    long nowMillis = clockMillis.getAsLong();
    for (SimulatedTask task : tasks.values()) {
      task.advance(nowMillis, faults.failTasksOn().contains(task.request().workerId()));
    }
  }

  /**
   * State and history of one lease.
   *
   * @param jobId the job
   * @param task index of the task in its gang
   * @param leaseId the lease
   * @param workerId the worker
   * @param rack rack of the worker
   * @param dataCentre data centre of the worker
   * @param state name of the task's state in lower case
   * @param startedMillis time of the start by the platform's clock, -1 if it never started
   * @param endedMillis time of the end by the platform's clock, -1 while the lease holds resources
   * @param starts number of starts
   * @param checkpoints number of checkpoints
   */
  public record TaskHistory(
      String jobId,
      int task,
      String leaseId,
      String workerId,
      String rack,
      String dataCentre,
      String state,
      long startedMillis,
      long endedMillis,
      int starts,
      int checkpoints) {}
}
