package org.hickoryspar.kernel.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Reserves workers for large batch jobs, so that small ones do not starve them.
 *
 * <p>Other batch jobs are backfilled on reserved workers only if they are estimated to end before
 * the reservation starts, or if {@link ReservationWait} admits them. Backfilled jobs that overrun
 * or keep the reserved job waiting are preempted if they are preemptible.
 */
final class BackfillReservations {

  /** Jobs with fewer accelerators fit into fragments and need no reservation. */
  private static final int MIN_LARGE_ACCELERATORS = 4;

  private static final int MAX_RESERVATIONS = 8;

  /** Maximum number of racks or workers compared for a reservation, most accelerators first. */
  private static final int MAX_DOMAINS = 24;

  /** Minimum remaining time assumed for a gang without an estimate or beyond its estimate. */
  private static final long MIN_REMAINING_MILLIS = 600_000;

  /** Time within which a stopping gang ends: checkpoint, stop and expiry of its leases. */
  private static final long MAX_STOP_MILLIS = 15_000;

  /** The workers reserved for the next job of an equivalence class. */
  static final class BackfillReservation {
    private final EquivalenceClass.Key key;
    private final int[] workers;
    private final ReservationWait wait;
    private final long id;
    private long startMillis;

    BackfillReservation(
        EquivalenceClass.Key key, int[] workers, ReservationWait wait, long startMillis, long id) {
      this.id = id;
      this.wait = wait;
      this.key = key;
      this.workers = workers;
      this.startMillis = startMillis;
    }

    EquivalenceClass.Key key() {
      return key;
    }

    int[] workers() {
      return workers;
    }

    boolean isDue(long nowMillis) {
      return startMillis <= nowMillis;
    }

    /** Returns whether a gang was backfilled on workers reserved for the class. */
    boolean isBackfilled(Gang gang) {
      return wait.isBackfilled(gang.job().jobId());
    }
  }

  private record Domain(List<Integer> workers, long startMillis) {}

  private final ClusterState state;
  private final RunTimeEstimator estimator;
  private final Map<EquivalenceClass.Key, BackfillReservation> byClass = new LinkedHashMap<>();
  private final Map<Integer, BackfillReservation> byWorker = new HashMap<>();
  private final Map<EquivalenceClass.Key, ReservationWait> waits = new LinkedHashMap<>();
  private long lastId;
  private long failedVersion = -1;

  BackfillReservations(ClusterState state, RunTimeEstimator estimator) {
    this.state = state;
    this.estimator = estimator;
  }

  boolean isEmpty() {
    return byClass.isEmpty();
  }

  @Nullable BackfillReservation get(EquivalenceClass.Key key) {
    return byClass.get(key);
  }

  /** Returns the unique identifier of the reservation of a class, or 0 if it has none. */
  long idOf(EquivalenceClass.Key key) {
    BackfillReservation reservation = byClass.get(key);
    return reservation == null ? 0 : reservation.id;
  }

  /** Returns whether the reservation of a worker, if any, allows a batch job to start there. */
  boolean allowsStart(
      int worker, EquivalenceClass.Key key, OptionalLong estimateMillis, long nowMillis) {
    BackfillReservation reservation = byWorker.get(worker);
    return reservation == null
        || reservation.key.equals(key)
        || reservation.wait.admits(key.preemptible())
        || (estimateMillis.isPresent()
            && nowMillis + estimateMillis.getAsLong() <= reservation.startMillis);
  }

  /**
   * Ends the wait of the gang's class with its reservation, and records a batch gang as backfilled
   * in the other reservations of its workers.
   */
  void gangStarted(EquivalenceClass.Key key, Gang gang) {
    remove(key);
    waits.remove(key);
    if (!byWorker.isEmpty() && !gang.job().urgent()) {
      for (int worker : gang.workers()) {
        BackfillReservation reservation = byWorker.get(worker);
        if (reservation != null) {
          reservation.wait.recordBackfilled(gang.job().jobId());
        }
      }
    }
  }

  void gangEnded(String jobId) {
    waits.values().forEach(wait -> wait.gangEnded(jobId));
  }

  void remove(EquivalenceClass.Key key) {
    BackfillReservation removed = byClass.remove(key);
    if (removed != null) {
      byWorker.values().removeIf(reservation -> reservation == removed);
      state.incrementVersion();
    }
  }

  void removeOn(int worker) {
    BackfillReservation reservation = byWorker.get(worker);
    if (reservation != null) {
      remove(reservation.key);
    }
  }

  /** Removes reservations of classes without waiting jobs, and advances the waits of the others. */
  void advance(long nowMillis) {
    for (EquivalenceClass.Key key : List.copyOf(waits.keySet())) {
      if (!state.waiting().hasClass(key)) {
        remove(key);
        waits.remove(key);
      }
    }
    for (ReservationWait wait : waits.values()) {
      if (wait.advance(nowMillis)) {
        state.incrementVersion();
      }
    }
  }

  /** Returns the reservations whose start is to be attempted now, and records the attempt. */
  List<BackfillReservation> takeDue(long nowMillis) {
    List<BackfillReservation> due =
        byClass.values().stream()
            .filter(
                reservation ->
                    reservation.isDue(nowMillis) || reservation.wait.isAttemptDue(nowMillis))
            .toList();
    due.forEach(reservation -> reservation.wait.recordAttempt(nowMillis));
    return due;
  }

  /**
   * Recomputes the start time of a reservation; removes the reservation if its workers can no
   * longer hold the gang.
   */
  void reschedule(BackfillReservation reservation, GangShape shape, long nowMillis) {
    List<Integer> workers = Arrays.stream(reservation.workers).boxed().toList();
    long expectedMillis = expectedStartMillis(workers, shape, nowMillis);
    if (expectedMillis == Long.MAX_VALUE) {
      remove(reservation.key);
    } else {
      reservation.startMillis = Math.max(nowMillis + 1_000, expectedMillis);
      state.incrementVersion();
    }
  }

  /** Reserves workers for a large job that cannot be placed now. */
  void reserve(JobRequest job, EquivalenceClass.Key key, long nowMillis) {
    GangShape shape = job.shape();
    if (shape.tasks() * shape.perTask().accelerators() < MIN_LARGE_ACCELERATORS
        || byClass.containsKey(key)
        || failedVersion == state.version()
        || byClass.size() >= MAX_RESERVATIONS) {
      return;
    }
    Domain best = null;
    for (List<Integer> workers : candidateDomains(job)) {
      long startMillis = expectedStartMillis(workers, shape, nowMillis);
      if (startMillis != Long.MAX_VALUE && (best == null || startMillis < best.startMillis())) {
        best = new Domain(workers, startMillis);
      }
    }
    // Several reservations cover at most a quarter of the workers, so that small jobs still start.
    boolean tooMany =
        best != null
            && !byClass.isEmpty()
            && (byWorker.size() + best.workers().size()) * 4 > state.fleet().workerNumberLimit();
    if (best == null || tooMany) {
      failedVersion = state.version();
      return;
    }
    int[] workers = best.workers().stream().mapToInt(Integer::intValue).toArray();
    long startMillis = best.startMillis();
    ReservationWait wait =
        waits.computeIfAbsent(key, k -> new ReservationWait(nowMillis, startMillis));
    BackfillReservation reservation =
        new BackfillReservation(key, workers, wait, startMillis, ++lastId);
    byClass.put(key, reservation);
    best.workers().forEach(worker -> byWorker.put(worker, reservation));
  }

  private List<List<Integer>> candidateDomains(JobRequest job) {
    Fleet fleet = state.fleet();
    GangShape shape = job.shape();
    List<List<Integer>> domains = new ArrayList<>();
    switch (shape.adjacency()) {
      case RACK ->
          fleet
              .free()
              .visitRacksDescending(
                  rack -> {
                    List<Integer> members = new ArrayList<>();
                    Arrays.stream(fleet.workersOfRack(rack))
                        .filter(worker -> isCandidate(worker))
                        .forEach(members::add);
                    if (countTasks(members, job) >= shape.tasks()) {
                      domains.add(members);
                    }
                    return domains.size() < MAX_DOMAINS;
                  });
      case WORKER ->
          fleet
              .free()
              .visitWorkersDescending(
                  0,
                  worker -> {
                    if (isCandidate(worker) && countTasksWhenIdle(worker, job) >= shape.tasks()) {
                      domains.add(List.of(worker));
                    }
                    return domains.size() < MAX_DOMAINS;
                  });
      default -> {
        Set<Integer> workers = new LinkedHashSet<>();
        boolean tooFew =
            fleet
                .free()
                .visitWorkersDescending(
                    0,
                    worker -> {
                      if (isCandidate(worker) && countTasksWhenIdle(worker, job) > 0) {
                        workers.add(worker);
                      }
                      return countTasks(workers, job) < shape.tasks();
                    });
        if (!tooFew) {
          domains.add(List.copyOf(workers));
        }
      }
    }
    return domains;
  }

  private boolean isCandidate(int worker) {
    return !byWorker.containsKey(worker) && state.fleet().free().isUsable(worker);
  }

  private int countTasks(Iterable<Integer> workers, JobRequest job) {
    int count = 0;
    for (int worker : workers) {
      count += countTasksWhenIdle(worker, job);
    }
    return count;
  }

  /**
   * Returns how many tasks fit on a worker once its gangs have ended: for preemptible jobs by
   * accelerators only, as {@link #expectedStartMillis} checks all resources; for non-preemptible
   * jobs in the uncommitted capacity.
   */
  private int countTasksWhenIdle(int worker, JobRequest job) {
    ResourceVector perTask = job.shape().perTask();
    if (!job.preemptible()) {
      return state.fleet().uncommitted().countFitting(worker, perTask);
    }
    WorkerState workerState = state.fleet().state(worker);
    ResourceVector capacity = workerState == null ? ResourceVector.NONE : workerState.capacity();
    return perTask.accelerators() == 0 ? 1 : capacity.accelerators() / perTask.accelerators();
  }

  /**
   * Returns when enough gangs on the workers are expected to have ended for a gang to fit, or
   * {@code Long.MAX_VALUE} if it would not fit even without them.
   */
  private long expectedStartMillis(Iterable<Integer> workers, GangShape shape, long nowMillis) {
    Map<Gang, Long> endMillisByGang = new LinkedHashMap<>();
    Map<Integer, int[]> available = new LinkedHashMap<>();
    CapacityIndex free = state.fleet().free();
    for (int worker : workers) {
      available.put(
          worker,
          new int[] {free.cores(worker), free.memoryMegabytes(worker), free.accelerators(worker)});
      state
          .gangsOn(worker)
          .keySet()
          .forEach(gang -> endMillisByGang.put(gang, expectedEndMillis(gang, nowMillis)));
    }
    if (countFitting(available, shape) >= shape.tasks()) {
      return nowMillis;
    }
    List<Gang> gangsByEnd = new ArrayList<>(endMillisByGang.keySet());
    gangsByEnd.sort(Comparator.comparing(endMillisByGang::get));
    for (Gang gang : gangsByEnd) {
      for (int worker : gang.workers()) {
        int[] amounts = available.get(worker);
        if (amounts != null) {
          amounts[0] += gang.perTask().cores();
          amounts[1] += gang.perTask().memoryMegabytes();
          amounts[2] += gang.perTask().accelerators();
        }
      }
      if (countFitting(available, shape) >= shape.tasks()) {
        return endMillisByGang.getOrDefault(gang, nowMillis);
      }
    }
    return Long.MAX_VALUE;
  }

  private static int countFitting(Map<Integer, int[]> available, GangShape shape) {
    ResourceVector perTask = shape.perTask();
    int count = 0;
    for (int[] amounts : available.values()) {
      int tasks = shape.tasks();
      tasks = perTask.cores() == 0 ? tasks : Math.min(tasks, amounts[0] / perTask.cores());
      tasks =
          perTask.memoryMegabytes() == 0
              ? tasks
              : Math.min(tasks, amounts[1] / perTask.memoryMegabytes());
      tasks =
          perTask.accelerators() == 0
              ? tasks
              : Math.min(tasks, amounts[2] / perTask.accelerators());
      count += Math.max(0, tasks);
    }
    return count;
  }

  private long expectedEndMillis(Gang gang, long nowMillis) {
    if (gang.isStopping()) {
      return nowMillis + MAX_STOP_MILLIS;
    }
    OptionalLong estimateMillis = estimator.estimateMillis(gang.job());
    long elapsedMillis = nowMillis - gang.startedMillis();
    if (estimateMillis.isPresent() && estimateMillis.getAsLong() > elapsedMillis) {
      return gang.startedMillis() + estimateMillis.getAsLong();
    }
    return nowMillis + Math.max(MIN_REMAINING_MILLIS, elapsedMillis / 2);
  }
}
