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

/** Models a cluster independently of the scheduler and checks every decision against the model. */
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

  /** Rebuilds the state in a new scheduler, as a new leader does. */
  void replaceScheduler(Scheduler newScheduler, boolean gangsFirst) {
    scheduler = newScheduler;
    if (gangsFirst) {
      recoverGangs();
    }
    workers.values().forEach(newScheduler::workerChanged);
    newScheduler.configure(config);
    waiting.values().forEach(newScheduler::jobQueued);
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

  void configure(SchedulingConfig newConfig) {
    config = newConfig;
    scheduler.configure(newConfig);
  }

  void putWorker(WorkerState worker) {
    workers.put(worker.workerId(), worker);
    scheduler.workerChanged(worker);
  }

  void removeWorker(String workerId) {
    workers.remove(workerId);
    scheduler.workerRemoved(workerId);
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

  void end(String jobId, EndReason reason, List<String> faultyWorkers) {
    PlacedGang ended = running.remove(jobId);
    stopping.remove(jobId);
    scheduler.gangEnded(jobId, reason, faultyWorkers, nowMillis);
    if (reason != EndReason.COMPLETED && reason != EndReason.CANCELLED) {
      waiting.put(jobId, ended.job());
    }
  }

  List<Decision> decide() {
    Set<String> isolatedWorkers = new HashSet<>(scheduler.isolatedWorkers());
    List<Decision> decisions = scheduler.decide(nowMillis);
    isolatedWorkers.retainAll(scheduler.isolatedWorkers());
    for (Decision decision : decisions) {
      if (decision instanceof Decision.Place place) {
        applyPlacement(place, isolatedWorkers);
      } else if (decision instanceof Decision.Preempt preempt) {
        applyPreemption(preempt);
      } else {
        assertNotNull(waiting.remove(decision.jobId()), "rejected without waiting: " + decision);
        rejected.add(decision.jobId());
      }
    }
    checkGuarantees();
    checkUrgentJobs();
    return decisions;
  }

  private void applyPlacement(Decision.Place place, Set<String> isolatedWorkers) {
    JobRequest job = waiting.remove(place.jobId());
    assertNotNull(job, "placed without waiting: " + place);
    assertEquals(place.workers().size(), job.shape().tasks(), "partial gang: " + place);
    for (String workerId : place.workers()) {
      assertTrue(isInService(workerId), "placed on a worker that is out of service: " + place);
    }
    assertTrue(isAdjacent(place.workers(), job.shape().adjacency()), "not adjacent: " + place);
    running.put(place.jobId(), new PlacedGang(job, place.workers(), nowMillis));
    for (String workerId : place.workers()) {
      assertTrue(fits(workerId, usedOn(workerId)), "overcommitted: " + place);
    }
    if (place.workers().stream().distinct().count() > 1) {
      assertFalse(
          place.workers().stream().anyMatch(isolatedWorkers::contains),
          "gang placed on an isolated worker: " + place);
    }
    long[] held = new long[3];
    for (PlacedGang gang : running.values()) {
      if (gang.job().team().equals(job.team())) {
        add(held, gang.job().shape().perTask(), gang.workers().size());
      }
    }
    assertTrue(fits(held, policy(job.team()).quota()), "over quota: " + place);
  }

  private void applyPreemption(Decision.Preempt preempt) {
    PlacedGang victim = running.get(preempt.jobId());
    assertNotNull(victim, "preempted without running: " + preempt);
    assertTrue(victim.job().preemptible(), "preempted a non-preemptible job: " + preempt);
    assertFalse(stopping.containsKey(preempt.jobId()), "preempted twice: " + preempt);
    assertTrue(
        waiting.containsKey(preempt.beneficiaryJobId())
            || preempt.beneficiaryJobId().equals(preempt.jobId()),
        "beneficiary does not wait: " + preempt);
    stopping.put(preempt.jobId(), preempt.beneficiaryJobId());
  }

  /**
   * Checks that all guarantees reported as formable can be formed at the same time without the
   * resources of non-preemptible work.
   */
  private void checkGuarantees() {
    Map<String, long[]> occupied = new HashMap<>();
    Set<String> countedJobIds = new HashSet<>();
    for (PlacedGang gang : running.values()) {
      if (!gang.job().preemptible()) {
        countedJobIds.add(gang.job().jobId());
        addTasks(occupied, gang.workers(), gang.job().shape().perTask());
      }
    }
    Set<String> matchedJobIds = new HashSet<>();
    List<GuaranteeReport> reports = scheduler.guarantees();
    assertEquals(
        reports.size(), config.teams().stream().mapToInt(team -> team.guarantees().size()).sum());
    for (GuaranteeReport report : reports) {
      if (!report.formable()) {
        assertFalse(
            report.missing().isEmpty(),
            "no reason for a guarantee that cannot be formed: " + report);
        continue;
      }
      assertTrue(
          isAdjacent(report.workers(), report.shape().adjacency()),
          "planned workers are not adjacent: " + report);
      String holderJobId = holderOf(report, matchedJobIds);
      if (holderJobId == null) {
        for (String workerId : report.workers()) {
          assertTrue(
              isInService(workerId),
              "planned on a worker that is out of service: " + report + running);
        }
        addTasks(occupied, report.workers(), report.shape().perTask());
      } else {
        matchedJobIds.add(holderJobId);
        if (countedJobIds.add(holderJobId)) {
          addTasks(occupied, report.workers(), running.get(holderJobId).job().shape().perTask());
        }
      }
      for (String preempted : report.wouldPreempt()) {
        assertTrue(
            running.get(preempted).job().preemptible(),
            "would preempt a non-preemptible job: " + report);
      }
    }
    for (PlacedGang gang : running.values()) {
      String jobId = gang.job().jobId();
      boolean guaranteed = scheduler.explain(jobId, nowMillis).contains("a guarantee");
      assertTrue(
          !guaranteed || matchedJobIds.contains(jobId),
          "runs under no reported guarantee: " + gang);
    }
    occupied.forEach(
        (workerId, amounts) -> {
          if (isInService(workerId)) {
            assertTrue(
                fits(workerId, amounts),
                "not formable at the same time on " + workerId + ": " + reports + running);
          }
        });
  }

  /** Returns the reports of formable guarantees that no running gang uses. */
  List<GuaranteeReport> idleGuarantees() {
    Set<String> matchedJobIds = new HashSet<>();
    List<GuaranteeReport> idleReports = new ArrayList<>();
    for (GuaranteeReport report : scheduler.guarantees()) {
      String holderJobId = report.formable() ? holderOf(report, matchedJobIds) : null;
      if (holderJobId != null) {
        matchedJobIds.add(holderJobId);
      } else if (report.formable()) {
        idleReports.add(report);
      }
    }
    return idleReports;
  }

  /** Returns the resources per worker held by gangs that are non-preemptible or use a guarantee. */
  Map<String, ResourceVector> unreclaimableByWorker() {
    Map<String, ResourceVector> held = new HashMap<>();
    running.forEach(
        (id, gang) -> {
          boolean isUnreclaimable =
              !gang.job().preemptible() || scheduler.explain(id, nowMillis).contains("a guarantee");
          for (String workerId : isUnreclaimable ? gang.workers() : List.<String>of()) {
            held.merge(workerId, gang.job().shape().perTask(), ResourceVector::plus);
          }
        });
    return held;
  }

  /** Returns the running job that uses a guarantee and is not matched yet, or null. */
  private String holderOf(GuaranteeReport report, Set<String> matchedJobIds) {
    GuaranteeState guarantee = new GuaranteeState(report.team(), report.shape());
    return running.values().stream()
        .filter(gang -> gang.workers().equals(report.workers()) && guarantee.matches(gang.job()))
        .filter(gang -> !matchedJobIds.contains(gang.job().jobId()))
        .filter(gang -> scheduler.explain(gang.job().jobId(), nowMillis).contains("a guarantee"))
        .min(Comparator.comparing(gang -> guarantee.excess(gang.job())))
        .map(gang -> gang.job().jobId())
        .orElse(null);
  }

  /** Checks that no preemptible urgent job waits although it fits in the free capacity. */
  private void checkUrgentJobs() {
    if (!stopping.isEmpty()) {
      return;
    }
    List<String> isolatedWorkers = scheduler.isolatedWorkers();
    for (JobRequest job : waiting.values()) {
      boolean reserved = scheduler.explain(job.jobId(), nowMillis).contains("reserved");
      if (job.urgent() && job.preemptible() && !reserved && hasQuota(job)) {
        Map<String, Integer> counts = new TreeMap<>();
        for (String workerId : workers.keySet()) {
          if (isInService(workerId) && !isolatedWorkers.contains(workerId)) {
            counts.put(workerId, countFitting(workerId, job.shape()));
          }
        }
        assertTrue(
            maxTasks(counts, job.shape().adjacency()) < job.shape().tasks(),
            "urgent job waits although it fits in the free capacity: " + job + " " + counts);
      }
    }
  }

  private int maxTasks(Map<String, Integer> counts, Adjacency adjacency) {
    Map<String, Integer> tasksByDomain = new HashMap<>();
    counts.forEach(
        (workerId, count) -> {
          String domain =
              switch (adjacency) {
                case WORKER -> workerId;
                case RACK -> rackOf(workerId);
                case NONE -> "";
              };
          tasksByDomain.merge(domain, count, Integer::sum);
        });
    return tasksByDomain.values().stream().mapToInt(Integer::intValue).max().orElse(0);
  }

  private int countFitting(String workerId, GangShape shape) {
    long[] amounts = usedOn(workerId);
    int tasks = 0;
    while (tasks < shape.tasks()) {
      add(amounts, shape.perTask(), 1);
      if (!fits(workerId, amounts)) {
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

  boolean isInService(String workerId) {
    WorkerState worker = workers.get(workerId);
    return worker != null
        && worker.available()
        && !config.dataCentresOut().contains(worker.dataCentre())
        && !config.workersOut().contains(workerId);
  }

  private boolean isAdjacent(List<String> workerIds, Adjacency adjacency) {
    return switch (adjacency) {
      case WORKER -> workerIds.stream().distinct().count() == 1;
      case RACK -> workerIds.stream().map(this::rackOf).distinct().count() == 1;
      case NONE -> true;
    };
  }

  /**
   * Returns the rack of a worker, also after its removal: identifiers consist of data centre, rack
   * and number.
   */
  private String rackOf(String workerId) {
    return workerId.substring(0, workerId.lastIndexOf('-'));
  }

  private long[] usedOn(String workerId) {
    long[] amounts = new long[3];
    for (PlacedGang gang : running.values()) {
      for (String assigned : gang.workers()) {
        if (assigned.equals(workerId)) {
          add(amounts, gang.job().shape().perTask(), 1);
        }
      }
    }
    return amounts;
  }

  private static void addTasks(
      Map<String, long[]> occupied, List<String> workerIds, ResourceVector perTask) {
    workerIds.forEach(
        workerId -> add(occupied.computeIfAbsent(workerId, id -> new long[3]), perTask, 1));
  }

  private static void add(long[] amounts, ResourceVector perTask, int tasks) {
    amounts[0] += (long) perTask.cores() * tasks;
    amounts[1] += (long) perTask.memoryMegabytes() * tasks;
    amounts[2] += (long) perTask.accelerators() * tasks;
  }

  private boolean fits(String workerId, long[] amounts) {
    return fits(amounts, workers.get(workerId).capacity());
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
