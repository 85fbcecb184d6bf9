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

/** Workers in memory that run simulated tasks; the same interface as the real platform. */
public final class SimulatedPlatform implements Platform {

  /** How long the usage report shows a task that has ended. */
  private static final long ENDED_REPORT_MILLIS = 60_000;

  private final Map<String, WorkerState> workers = new TreeMap<>();
  private final Map<String, SimulatedTask> tasks = new LinkedHashMap<>();
  private final Map<String, Long> newestTokens = new HashMap<>();
  private final AtomicInteger refusedPrepares = new AtomicInteger();
  private final LongSupplier clockMillis;
  private PlatformFaults faults = PlatformFaults.NONE;

  /**
   * Creates a platform.
   *
   * @param workers the workers
   * @param clockMillis a clock that never goes back
   */
  public SimulatedPlatform(List<WorkerState> workers, LongSupplier clockMillis) {
    this.clockMillis = requireNonNull(clockMillis, "clockMillis is null");
    for (WorkerState worker : workers) {
      this.workers.put(worker.workerId(), worker);
    }
  }

  /**
   * Replaces the faults.
   *
   * @param newFaults the faults from now on
   */
  public synchronized void setFaults(PlatformFaults newFaults) {
    advance();
    faults = requireNonNull(newFaults, "newFaults is null");
    refusedPrepares.set(newFaults.refusedPrepares());
  }

  /**
   * Returns the faults.
   *
   * @return the faults in force
   */
  public synchronized PlatformFaults faults() {
    return faults;
  }

  @Override
  public synchronized Result<List<WorkerState>> inventory() {
    List<WorkerState> present = new ArrayList<>();
    for (WorkerState worker : workers.values()) {
      if (!faults.removedDataCentres().contains(worker.dataCentre())) {
        present.add(
            new WorkerState(
                worker.workerId(),
                worker.rack(),
                worker.dataCentre(),
                worker.capacity(),
                !isSilent(worker.workerId())));
      }
    }
    return Result.success(present);
  }

  @Override
  public synchronized Result<String> prepare(PrepareRequest request) {
    requireNonNull(request, "request is null");
    advance();
    WorkerState worker = workers.get(request.workerId());
    if (worker == null || faults.removedDataCentres().contains(worker.dataCentre())) {
      return Result.failure("no-worker", "no worker " + request.workerId());
    }
    if (isSilent(worker.workerId())) {
      return Result.failure("unreachable", "worker " + worker.workerId() + " does not answer");
    }
    if (refusedPrepares.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
      return Result.failure("no-capacity", "refused by a fault of the stand-in");
    }
    if (isStale(worker.workerId(), request.fencingToken())) {
      return Result.failure("stale-token", "worker " + worker.workerId() + " has a newer token");
    }
    SimulatedTask known = tasks.get(request.leaseId());
    if (known != null) {
      return known.state().holdsResources()
          ? Result.success(request.leaseId())
          : Result.failure("no-lease", "lease " + request.leaseId() + " has ended");
    }
    if (!request.resources().fitsIn(free(worker))) {
      return Result.failure("no-capacity", "no room on worker " + worker.workerId());
    }
    tasks.put(request.leaseId(), new SimulatedTask(request, clockMillis.getAsLong()));
    return Result.success(request.leaseId());
  }

  @Override
  public synchronized Result<String> start(String leaseId, long fencingToken) {
    return onTask(leaseId, fencingToken)
        .flatMap(
            task -> {
              long nowMillis = clockMillis.getAsLong();
              if (task.state() == SimulatedTask.State.RUNNING) {
                return Result.success(leaseId);
              }
              if (task.state() != SimulatedTask.State.PREPARED) {
                return Result.failure("no-lease", "lease " + leaseId + " has ended");
              }
              if (!task.mayStart(nowMillis)) {
                return Result.failure("too-late", "the start limit has passed");
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
      onTask(leaseId, fencingToken)
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
    return onTask(leaseId, fencingToken)
        .map(
            task -> {
              task.checkpoint();
              return leaseId;
            });
  }

  @Override
  public synchronized Result<String> throttle(String leaseId, long fencingToken, int percent) {
    return onTask(leaseId, fencingToken)
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
    return onTask(leaseId, fencingToken)
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
    advance();
    long nowMillis = clockMillis.getAsLong();
    List<TaskReport> reports = new ArrayList<>();
    for (SimulatedTask task : tasks.values()) {
      boolean current =
          task.state().holdsResources() || nowMillis - task.endedMillis() < ENDED_REPORT_MILLIS;
      if (current && !isSilent(task.request().workerId())) {
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
   * Lists all tasks that were ever prepared, for checks of what really ran.
   *
   * @return one row per lease, in the order of preparation
   */
  public synchronized List<TaskHistory> history() {
    advance();
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

  private Result<SimulatedTask> onTask(String leaseId, long fencingToken) {
    advance();
    SimulatedTask task = tasks.get(leaseId);
    if (task == null) {
      return Result.failure("no-lease", "no lease " + leaseId);
    }
    String workerId = task.request().workerId();
    if (isSilent(workerId)) {
      return Result.failure("unreachable", "worker " + workerId + " does not answer");
    }
    if (isStale(workerId, fencingToken)) {
      return Result.failure("stale-token", "worker " + workerId + " has a newer token");
    }
    return Result.success(task);
  }

  private boolean isStale(String workerId, long fencingToken) {
    long newest = newestTokens.merge(workerId, fencingToken, Math::max);
    return fencingToken < newest;
  }

  private boolean isSilent(String workerId) {
    WorkerState worker = workers.get(workerId);
    return faults.silentWorkers().contains(workerId)
        || (worker != null && faults.removedDataCentres().contains(worker.dataCentre()));
  }

  private ResourceVector free(WorkerState worker) {
    ResourceVector free = worker.capacity();
    for (SimulatedTask task : tasks.values()) {
      if (task.state().holdsResources() && task.request().workerId().equals(worker.workerId())) {
        free = free.minus(task.resources());
      }
    }
    return free;
  }

  private void advance() {
    long nowMillis = clockMillis.getAsLong();
    for (SimulatedTask task : tasks.values()) {
      task.advance(nowMillis, faults.failTasksOn().contains(task.request().workerId()));
    }
  }

  /**
   * What became of one lease.
   *
   * @param jobId the job
   * @param task index of the task in its gang
   * @param leaseId the lease
   * @param workerId the worker
   * @param rack rack of the worker
   * @param dataCentre data centre of the worker
   * @param state state in lower case
   * @param startedMillis time of the start, -1 when it never started
   * @param endedMillis time of the end, -1 while it lasts
   * @param starts number of times that it started
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
