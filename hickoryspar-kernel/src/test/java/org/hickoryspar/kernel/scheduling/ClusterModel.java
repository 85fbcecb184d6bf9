package org.hickoryspar.kernel.scheduling;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** An independent account of a cluster that checks every decision of a scheduler. */
final class ClusterModel {

  record PlacedGang(JobRequest job, List<String> workers, long startedMillis) {}

  Scheduler scheduler;
  final TreeMap<String, WorkerState> workers = new TreeMap<>();
  final Map<String, JobRequest> waiting = new LinkedHashMap<>();
  final Map<String, PlacedGang> running = new LinkedHashMap<>();
  final Map<String, String> stopping = new LinkedHashMap<>();
  final Set<String> rejected = new HashSet<>();
  SchedulingConfig config;
  long nowMillis;

  ClusterModel(Scheduler scheduler) {
    this.scheduler = scheduler;
  }

  /** Rebuilds the state in another scheduler, as a new leader does. */
  void replace(Scheduler next, boolean gangsFirst) {
    scheduler = next;
    if (gangsFirst) {
      recoverGangs();
    }
    workers.values().forEach(next::workerChanged);
    next.configure(config);
    waiting.values().forEach(next::jobQueued);
    if (!gangsFirst) {
      recoverGangs();
    }
  }

  private void recoverGangs() {
    running.forEach(
        (id, gang) ->
            scheduler.gangRecovered(
                new RunningGang(
                    gang.job(),
                    gang.workers(),
                    gang.startedMillis(),
                    gang.startedMillis(),
                    stopping.containsKey(id))));
  }

  void configure(SchedulingConfig next) {
    config = next;
    scheduler.configure(next);
  }

  void worker(WorkerState worker) {
    workers.put(worker.workerId(), worker);
    scheduler.workerChanged(worker);
  }

  void remove(String worker) {
    workers.remove(worker);
    scheduler.workerRemoved(worker);
  }

  void submit(JobRequest job) {
    waiting.put(job.jobId(), job);
    scheduler.jobQueued(job);
  }

  void cancel(String jobId) {
    if (waiting.remove(jobId) != null) {
      scheduler.jobRemoved(jobId);
    } else if (running.containsKey(jobId)) {
      end(jobId, EndReason.CANCELLED, List.of());
    }
  }

  void end(String jobId, EndReason reason, List<String> faulty) {
    PlacedGang ended = running.remove(jobId);
    stopping.remove(jobId);
    scheduler.gangEnded(jobId, reason, faulty, nowMillis);
    if (reason != EndReason.COMPLETED && reason != EndReason.CANCELLED) {
      waiting.put(jobId, ended.job());
    }
  }

  List<Decision> decide() {
    Set<String> isolated = new HashSet<>(scheduler.isolatedWorkers());
    List<Decision> decisions = scheduler.decide(nowMillis);
    isolated.retainAll(scheduler.isolatedWorkers());
    for (Decision decision : decisions) {
      if (decision instanceof Decision.Place place) {
        place(place, isolated);
      } else if (decision instanceof Decision.Preempt preempt) {
        preempt(preempt);
      } else {
        assertNotNull(waiting.remove(decision.jobId()), "rejected without waiting: " + decision);
        rejected.add(decision.jobId());
      }
    }
    checkGuarantees();
    checkUrgent();
    return decisions;
  }

  private void place(Decision.Place place, Set<String> isolated) {
    JobRequest job = waiting.remove(place.jobId());
    assertNotNull(job, "placed without waiting: " + place);
    assertEquals(place.workers().size(), job.shape().tasks(), "partial gang: " + place);
    for (String name : place.workers()) {
      assertTrue(isIn(name), "placed on a worker that is out: " + place);
    }
    assertTrue(isAdjacent(place.workers(), job.shape().adjacency()), "not adjacent: " + place);
    running.put(place.jobId(), new PlacedGang(job, place.workers(), nowMillis));
    for (String name : place.workers()) {
      assertTrue(fits(name, used(name)), "overcommitted: " + place);
    }
    if (place.workers().stream().distinct().count() > 1) {
      assertFalse(place.workers().stream().anyMatch(isolated::contains), "isolated " + place);
    }
    long[] held = new long[3];
    for (PlacedGang gang : running.values()) {
      if (gang.job().team().equals(job.team())) {
        add(held, gang.job().shape().perTask(), gang.workers().size());
      }
    }
    assertTrue(fits(held, policy(job.team()).quota()), "over quota: " + place);
  }

  private void preempt(Decision.Preempt preempt) {
    PlacedGang victim = running.get(preempt.jobId());
    assertNotNull(victim, "preempted without running: " + preempt);
    assertTrue(victim.job().preemptible(), "may not be preempted: " + preempt);
    assertFalse(stopping.containsKey(preempt.jobId()), "preempted twice: " + preempt);
    assertTrue(
        waiting.containsKey(preempt.beneficiaryJobId())
            || preempt.beneficiaryJobId().equals(preempt.jobId()),
        "no beneficiary waits: " + preempt);
    stopping.put(preempt.jobId(), preempt.beneficiaryJobId());
  }

  /** Checks that what is reported as formable can be formed at once, next to work that stays. */
  private void checkGuarantees() {
    Map<String, long[]> taken = new HashMap<>();
    Set<String> counted = new HashSet<>();
    for (PlacedGang gang : running.values()) {
      if (!gang.job().preemptible()) {
        counted.add(gang.job().jobId());
        take(taken, gang.workers(), gang.job().shape().perTask());
      }
    }
    Set<String> using = new HashSet<>();
    List<GuaranteeReport> reports = scheduler.guarantees();
    assertEquals(
        reports.size(), config.teams().stream().mapToInt(team -> team.guarantees().size()).sum());
    for (GuaranteeReport report : reports) {
      if (!report.formable()) {
        assertFalse(report.missing().isEmpty(), "no reason: " + report);
        continue;
      }
      assertTrue(isAdjacent(report.workers(), report.shape().adjacency()), "apart: " + report);
      String user = user(report, using);
      if (user == null) {
        for (String name : report.workers()) {
          assertTrue(isIn(name), "formed where it is out: " + report + running);
        }
        take(taken, report.workers(), report.shape().perTask());
      } else {
        using.add(user);
        if (counted.add(user)) {
          take(taken, report.workers(), running.get(user).job().shape().perTask());
        }
      }
      for (String preempted : report.wouldPreempt()) {
        assertTrue(running.get(preempted).job().preemptible(), "cannot be preempted: " + report);
      }
    }
    for (PlacedGang gang : running.values()) {
      String id = gang.job().jobId();
      boolean guaranteed = scheduler.explain(id, nowMillis).contains("a guarantee");
      assertTrue(!guaranteed || using.contains(id), "uses no reported guarantee: " + gang);
    }
    taken.forEach(
        (name, amounts) -> {
          if (isIn(name)) {
            assertTrue(
                fits(name, amounts), "not formable at once on " + name + ": " + reports + running);
          }
        });
  }

  /** Returns the guarantees that are formable and that no running gang uses. */
  List<GuaranteeReport> idleGuarantees() {
    Set<String> using = new HashSet<>();
    List<GuaranteeReport> idle = new ArrayList<>();
    for (GuaranteeReport report : scheduler.guarantees()) {
      String user = report.formable() ? user(report, using) : null;
      if (user != null) {
        using.add(user);
      } else if (report.formable()) {
        idle.add(report);
      }
    }
    return idle;
  }

  /** Returns per worker what gangs hold that may not be preempted or use a guarantee. */
  Map<String, ResourceVector> heldForGood() {
    Map<String, ResourceVector> held = new HashMap<>();
    running.forEach(
        (id, gang) -> {
          boolean stays =
              !gang.job().preemptible() || scheduler.explain(id, nowMillis).contains("a guarantee");
          for (String name : stays ? gang.workers() : List.<String>of()) {
            held.merge(name, gang.job().shape().perTask(), ResourceVector::plus);
          }
        });
    return held;
  }

  /** Returns the running gang that uses a guarantee, or null. */
  private String user(GuaranteeReport report, Set<String> using) {
    GuaranteeState slot = new GuaranteeState(report.team(), report.shape());
    return running.values().stream()
        .filter(gang -> gang.workers().equals(report.workers()) && slot.matches(gang.job()))
        .filter(gang -> !using.contains(gang.job().jobId()))
        .filter(gang -> scheduler.explain(gang.job().jobId(), nowMillis).contains("a guarantee"))
        .min(Comparator.comparing(gang -> slot.excess(gang.job())))
        .map(gang -> gang.job().jobId())
        .orElse(null);
  }

  /** Checks that no preemptible urgent job waits that would fit in free capacity. */
  private void checkUrgent() {
    if (!stopping.isEmpty()) {
      return;
    }
    List<String> isolated = scheduler.isolatedWorkers();
    for (JobRequest job : waiting.values()) {
      boolean reserved = scheduler.explain(job.jobId(), nowMillis).contains("reserved");
      if (job.urgent() && job.preemptible() && !reserved && hasQuota(job)) {
        Map<String, Integer> counts = new TreeMap<>();
        for (String name : workers.keySet()) {
          if (isIn(name) && !isolated.contains(name)) {
            counts.put(name, count(name, job.shape()));
          }
        }
        assertTrue(
            most(counts, job.shape().adjacency()) < job.shape().tasks(),
            "urgent job waits beside free capacity: " + job + " " + counts);
      }
    }
  }

  private int most(Map<String, Integer> counts, Adjacency adjacency) {
    Map<String, Integer> sums = new HashMap<>();
    counts.forEach(
        (name, count) -> {
          String domain =
              switch (adjacency) {
                case WORKER -> name;
                case RACK -> rack(name);
                case NONE -> "";
              };
          sums.merge(domain, count, Integer::sum);
        });
    return sums.values().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  private int count(String name, GangShape shape) {
    long[] amounts = used(name);
    int tasks = 0;
    while (tasks < shape.tasks()) {
      add(amounts, shape.perTask(), 1);
      if (!fits(name, amounts)) {
        break;
      }
      tasks++;
    }
    return tasks;
  }

  boolean hasQuota(JobRequest job) {
    long[] held = new long[3];
    add(held, job.shape().perTask(), job.shape().tasks());
    for (PlacedGang gang : running.values()) {
      if (gang.job().team().equals(job.team())) {
        add(held, gang.job().shape().perTask(), gang.workers().size());
      }
    }
    return fits(held, policy(job.team()).quota());
  }

  TeamPolicy policy(String team) {
    return config.teams().stream().filter(p -> p.team().equals(team)).findFirst().orElseThrow();
  }

  boolean isIn(String name) {
    WorkerState worker = workers.get(name);
    return worker != null
        && worker.available()
        && !config.dataCentresOut().contains(worker.dataCentre())
        && !config.workersOut().contains(name);
  }

  private boolean isAdjacent(List<String> names, Adjacency adjacency) {
    return switch (adjacency) {
      case WORKER -> names.stream().distinct().count() == 1;
      case RACK -> names.stream().map(this::rack).distinct().count() == 1;
      case NONE -> true;
    };
  }

  /** Names of workers are built as data centre, rack and number, so they outlive the worker. */
  private String rack(String name) {
    return name.substring(0, name.lastIndexOf('-'));
  }

  private long[] used(String name) {
    long[] amounts = new long[3];
    for (PlacedGang gang : running.values()) {
      for (String used : gang.workers()) {
        if (used.equals(name)) {
          add(amounts, gang.job().shape().perTask(), 1);
        }
      }
    }
    return amounts;
  }

  private static void take(Map<String, long[]> taken, List<String> names, ResourceVector perTask) {
    names.forEach(name -> add(taken.computeIfAbsent(name, n -> new long[3]), perTask, 1));
  }

  private static void add(long[] amounts, ResourceVector perTask, int tasks) {
    amounts[0] += (long) perTask.cores() * tasks;
    amounts[1] += (long) perTask.memoryMegabytes() * tasks;
    amounts[2] += (long) perTask.accelerators() * tasks;
  }

  private boolean fits(String name, long[] amounts) {
    return fits(amounts, workers.get(name).capacity());
  }

  private static boolean fits(long[] amounts, ResourceVector limit) {
    return amounts[0] <= limit.cores()
        && amounts[1] <= limit.memoryMegabytes()
        && amounts[2] <= limit.accelerators();
  }

  List<String> runningIds() {
    return new ArrayList<>(running.keySet());
  }
}
