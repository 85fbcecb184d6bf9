package org.hickoryspar.kernel.scheduling;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Workers that are kept for large batch jobs, so that small ones do not starve them.
 *
 * <p>Other batch jobs may be backfilled there only if history says that they end in time. Those
 * that overrun are preempted if they may be.
 */
final class BackfillReservations {

  /** A job below this number of accelerators finds room without a reservation. */
  private static final int LARGE_ACCELERATORS = 4;

  private static final int MOST_RESERVATIONS = 8;

  /** How many racks or workers are compared for a reservation; those with most room first. */
  private static final int MOST_DOMAINS = 24;

  /** Remaining time assumed for a gang whose run time is not known or that has overrun. */
  private static final long LEAST_REMAINING_MILLIS = 600_000;

  /** A gang that is being stopped has ended after this time: checkpoint, stop and lease. */
  private static final long STOP_MILLIS = 15_000;

  /** The place kept for one class of jobs. */
  static final class BackfillReservation {
    private final EquivalenceClass.Key key;
    private final int[] workers;
    private final Set<String> backfilled = new HashSet<>();
    private final long number;
    private long startMillis;

    BackfillReservation(EquivalenceClass.Key key, int[] workers, long startMillis, long number) {
      this.number = number;
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

    long startMillis() {
      return startMillis;
    }

    /** Returns whether a gang was backfilled, on the condition that it ends in time. */
    boolean isBackfilled(Gang gang) {
      return backfilled.contains(gang.job().jobId());
    }
  }

  private record Domain(List<Integer> workers, long startMillis) {}

  private final ClusterState state;
  private final RunTimeEstimator estimator;
  private final Map<EquivalenceClass.Key, BackfillReservation> reservations = new LinkedHashMap<>();
  private final Map<Integer, BackfillReservation> ofWorker = new HashMap<>();
  private long made;
  private long fullVersion = -1;

  BackfillReservations(ClusterState state, RunTimeEstimator estimator) {
    this.state = state;
    this.estimator = estimator;
  }

  boolean isEmpty() {
    return reservations.isEmpty();
  }

  @Nullable BackfillReservation of(EquivalenceClass.Key key) {
    return reservations.get(key);
  }

  /** Returns a number that no two reservations share, or 0 if the class has none. */
  long numberOf(EquivalenceClass.Key key) {
    BackfillReservation kept = reservations.get(key);
    return kept == null ? 0 : kept.number;
  }

  /** Returns whether a batch job may start on a worker. */
  boolean allows(
      int worker, EquivalenceClass.Key key, OptionalLong estimateMillis, long nowMillis) {
    BackfillReservation kept = ofWorker.get(worker);
    return kept == null
        || kept.key.equals(key)
        || (estimateMillis.isPresent()
            && nowMillis + estimateMillis.getAsLong() <= kept.startMillis);
  }

  /** Records the start of a gang of a class. */
  void started(EquivalenceClass.Key key, Gang gang) {
    drop(key);
    if (!ofWorker.isEmpty() && !gang.job().urgent()) {
      for (int worker : gang.workers()) {
        BackfillReservation kept = ofWorker.get(worker);
        if (kept != null) {
          kept.backfilled.add(gang.job().jobId());
        }
      }
    }
  }

  void ended(String jobId) {
    reservations.values().forEach(kept -> kept.backfilled.remove(jobId));
  }

  void drop(EquivalenceClass.Key key) {
    BackfillReservation dropped = reservations.remove(key);
    if (dropped != null) {
      ofWorker.values().removeIf(kept -> kept == dropped);
      state.changed();
    }
  }

  void dropOn(int worker) {
    BackfillReservation kept = ofWorker.get(worker);
    if (kept != null) {
      drop(kept.key);
    }
  }

  /** Drops reservations of jobs that no longer wait; returns those whose time has come. */
  List<BackfillReservation> due(long nowMillis) {
    for (EquivalenceClass.Key key : List.copyOf(reservations.keySet())) {
      if (!state.waiting().hasClass(key)) {
        drop(key);
      }
    }
    return reservations.values().stream().filter(kept -> kept.startMillis <= nowMillis).toList();
  }

  /** Computes anew when the place of a reservation can be had. */
  void postpone(BackfillReservation kept, GangShape shape, long nowMillis) {
    List<Integer> workers = Arrays.stream(kept.workers).boxed().toList();
    long start = startMillis(workers, shape, nowMillis);
    if (start == Long.MAX_VALUE) {
      drop(kept.key);
    } else {
      kept.startMillis = Math.max(nowMillis + 1_000, start);
      state.changed();
    }
  }

  /** Keeps a place for a job that cannot be placed, if it is large. */
  void reserve(JobRequest job, EquivalenceClass.Key key, long nowMillis) {
    GangShape shape = job.shape();
    if (shape.tasks() * shape.perTask().accelerators() < LARGE_ACCELERATORS
        || reservations.containsKey(key)
        || fullVersion == state.version()
        || reservations.size() >= MOST_RESERVATIONS) {
      return;
    }
    Domain best = null;
    for (List<Integer> workers : domains(job)) {
      long start = startMillis(workers, shape, nowMillis);
      if (start != Long.MAX_VALUE && (best == null || start < best.startMillis())) {
        best = new Domain(workers, start);
      }
    }
    // Reservations take at most a quarter of the fleet, so that small jobs go on starting.
    boolean tooMany =
        best != null
            && !reservations.isEmpty()
            && (ofWorker.size() + best.workers().size()) * 4 > state.fleet().bound();
    if (best == null || tooMany) {
      fullVersion = state.version();
      return;
    }
    int[] workers = best.workers().stream().mapToInt(Integer::intValue).toArray();
    BackfillReservation kept = new BackfillReservation(key, workers, best.startMillis(), ++made);
    reservations.put(key, kept);
    best.workers().forEach(worker -> ofWorker.put(worker, kept));
  }

  private List<List<Integer>> domains(JobRequest job) {
    Fleet fleet = state.fleet();
    GangShape shape = job.shape();
    List<List<Integer>> found = new ArrayList<>();
    switch (shape.adjacency()) {
      case RACK ->
          fleet
              .free()
              .visitRacksDescending(
                  rack -> {
                    List<Integer> members = new ArrayList<>();
                    Arrays.stream(fleet.membersOfRack(rack))
                        .filter(worker -> isCandidate(worker))
                        .forEach(members::add);
                    if (tasks(members, job) >= shape.tasks()) {
                      found.add(members);
                    }
                    return found.size() < MOST_DOMAINS;
                  });
      case WORKER ->
          fleet
              .free()
              .visitWorkersDescending(
                  0,
                  worker -> {
                    if (isCandidate(worker) && tasksOn(worker, job) >= shape.tasks()) {
                      found.add(List.of(worker));
                    }
                    return found.size() < MOST_DOMAINS;
                  });
      default -> {
        Set<Integer> workers = new LinkedHashSet<>();
        boolean tooFew =
            fleet
                .free()
                .visitWorkersDescending(
                    0,
                    worker -> {
                      if (isCandidate(worker) && tasksOn(worker, job) > 0) {
                        workers.add(worker);
                      }
                      return tasks(workers, job) < shape.tasks();
                    });
        if (!tooFew) {
          found.add(List.copyOf(workers));
        }
      }
    }
    return found;
  }

  private boolean isCandidate(int worker) {
    return !ofWorker.containsKey(worker) && state.fleet().free().isUsable(worker);
  }

  private int tasks(Iterable<Integer> workers, JobRequest job) {
    int sum = 0;
    for (int worker : workers) {
      sum += tasksOn(worker, job);
    }
    return sum;
  }

  /** Returns how many tasks a worker could take once all its gangs have ended. */
  private int tasksOn(int worker, JobRequest job) {
    ResourceVector perTask = job.shape().perTask();
    if (!job.preemptible()) {
      return state.fleet().reclaimable().count(worker, perTask);
    }
    WorkerState known = state.fleet().state(worker);
    ResourceVector capacity = known == null ? ResourceVector.NONE : known.capacity();
    return perTask.accelerators() == 0 ? 1 : capacity.accelerators() / perTask.accelerators();
  }

  /** Returns when enough gangs on the workers are expected to have ended. */
  private long startMillis(Iterable<Integer> workers, GangShape shape, long nowMillis) {
    Map<Gang, Long> ends = new LinkedHashMap<>();
    Map<Integer, int[]> left = new LinkedHashMap<>();
    CapacityIndex free = state.fleet().free();
    for (int w : workers) {
      left.put(w, new int[] {free.cores(w), free.memoryMegabytes(w), free.accelerators(w)});
      state.gangsOn(w).keySet().forEach(gang -> ends.put(gang, endMillis(gang, nowMillis)));
    }
    if (count(left, shape) >= shape.tasks()) {
      return nowMillis;
    }
    List<Gang> order = new ArrayList<>(ends.keySet());
    order.sort(Comparator.comparing(ends::get));
    for (Gang gang : order) {
      for (int worker : gang.workers()) {
        int[] amounts = left.get(worker);
        if (amounts != null) {
          amounts[0] += gang.perTask().cores();
          amounts[1] += gang.perTask().memoryMegabytes();
          amounts[2] += gang.perTask().accelerators();
        }
      }
      if (count(left, shape) >= shape.tasks()) {
        return ends.getOrDefault(gang, nowMillis);
      }
    }
    return Long.MAX_VALUE;
  }

  private static int count(Map<Integer, int[]> left, GangShape shape) {
    ResourceVector perTask = shape.perTask();
    int sum = 0;
    for (int[] amounts : left.values()) {
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
      sum += Math.max(0, tasks);
    }
    return sum;
  }

  private long endMillis(Gang gang, long nowMillis) {
    if (gang.isStopping()) {
      return nowMillis + STOP_MILLIS;
    }
    OptionalLong estimate = estimator.estimateMillis(gang.job());
    long elapsed = nowMillis - gang.startedMillis();
    if (estimate.isPresent() && estimate.getAsLong() > elapsed) {
      return gang.startedMillis() + estimate.getAsLong();
    }
    return nowMillis + Math.max(LEAST_REMAINING_MILLIS, elapsed / 2);
  }
}
