package org.hickoryspar.kernel.scheduling;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs the scheduler on random events. A failure names its seed; {@code -Dhickoryspar.seed=N}
 * replays it.
 */
public class SchedulerPropertyTest {

  private static final int RUNS = Integer.getInteger("hickoryspar.runs", 400);
  private static final int STEPS = 120;
  private static final AtomicLong COMPARISONS = new AtomicLong();
  private static final AtomicLong FALSE_NEGATIVES = new AtomicLong();
  private static final Adjacency[] ADJACENCIES = Adjacency.values();

  @DataProvider
  Object[][] seeds() {
    String replaySeed = System.getProperty("hickoryspar.seed");
    if (replaySeed != null) {
      return new Object[][] {{Long.parseLong(replaySeed)}};
    }
    Object[][] seeds = new Object[RUNS][];
    for (int run = 0; run < RUNS; run++) {
      seeds[run] = new Object[] {1_000L + run};
    }
    return seeds;
  }

  /**
   * Guards against overcommit, partial gangs, guarantees that are broken or used by others, work on
   * out-of-service workers, preemption of non-preemptible jobs, jobs that run twice, urgent jobs
   * that are skipped, pending placements that never start, and decisions that depend on more than
   * the events, in any order of events.
   */
  @Test(dataProvider = "seeds")
  public void shouldKeepInvariantsWhenEventsAreRandom(long seed) {
    RandomRun run = new RandomRun(seed);
    try {
      run.start();
      for (int step = 0; step < STEPS; step++) {
        run.step();
      }
      run.reclaimAllGuarantees();
      if (seed % 8 == 0) {
        assertEquals(
            run.decisionLog, replayDecisions(seed), "the same events led to different decisions");
      }
    } catch (RuntimeException | AssertionError e) {
      throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
    }
  }

  private static List<String> replayDecisions(long seed) {
    RandomRun repeatedRun = new RandomRun(seed);
    repeatedRun.start();
    for (int step = 0; step < STEPS; step++) {
      repeatedRun.step();
    }
    repeatedRun.reclaimAllGuarantees();
    return repeatedRun.decisionLog;
  }

  /** Guards against an accepted configuration that exhaustive search refutes. */
  @Test(dataProvider = "seeds")
  public void shouldAgreeWithExhaustiveSearchWhenConfigurationsAreChecked(long seed) {
    RandomRun run = new RandomRun(seed);
    run.createWorkers(1, 2, 2);
    List<TeamPolicy> teams = run.randomTeams(2, 2, 3);
    boolean accepted = run.model.scheduler.check(run.randomConfig(teams)).isSuccess();
    List<GangShape> shapes = teams.stream().flatMap(t -> t.guarantees().stream()).toList();
    compare(
        seed, accepted, exhaustiveCheck(run.model.workers.values(), Map.of(), shapes).isFormable());
  }

  /** Guards against guarantees reported as formable that exhaustive search refutes. */
  @Test(dataProvider = "seeds")
  public void shouldAgreeWithExhaustiveSearchWhenGangsRun(long seed) {
    RandomRun run = new RandomRun(seed);
    run.start(1, 2, 2);
    for (int step = 0; step < STEPS / 2; step++) {
      run.step();
      ClusterModel model = run.model;
      List<String> isolated = model.scheduler.isolatedWorkers();
      List<WorkerState> usable =
          model.workers.values().stream()
              .filter(worker -> model.isInService(worker.workerId()))
              .filter(worker -> !isolated.contains(worker.workerId()))
              .toList();
      List<GuaranteeReport> reports = new ArrayList<>(model.scheduler.guarantees());
      boolean formable = reports.stream().allMatch(GuaranteeReport::formable);
      reports.removeIf(GuaranteeReport::formable);
      reports.addAll(model.idleGuarantees());
      List<GangShape> shapes = reports.stream().map(GuaranteeReport::shape).toList();
      Map<String, ResourceVector> held = model.unreclaimableByWorker();
      compare(seed, formable, exhaustiveCheck(usable, held, shapes).isFormable());
    }
  }

  private static void compare(long seed, boolean reported, boolean actual) {
    assertTrue(actual || !reported, "seed " + seed + ": reported as formable, but it is not");
    COMPARISONS.incrementAndGet();
    if (actual && !reported) {
      FALSE_NEGATIVES.incrementAndGet();
    }
  }

  private static ExactGuaranteeCheck exhaustiveCheck(
      Collection<WorkerState> workers, Map<String, ResourceVector> held, List<GangShape> shapes) {
    Map<String, ResourceVector> available = new HashMap<>();
    Map<String, String> racks = new HashMap<>();
    for (WorkerState worker : workers) {
      String workerId = worker.workerId();
      available.put(
          workerId, worker.capacity().minus(held.getOrDefault(workerId, ResourceVector.NONE)));
      racks.put(workerId, worker.dataCentre() + worker.rack());
    }
    return new ExactGuaranteeCheck(available, racks, shapes);
  }

  @AfterClass
  public void printComparisons() {
    System.out.println(
        COMPARISONS
            + " comparisons with exhaustive search, "
            + FALSE_NEGATIVES
            + " false negatives");
  }

  /** A shape that matches no guarantee, because none has as many tasks. */
  private static final GangShape UNGUARANTEED_SHAPE =
      new GangShape(5, new ResourceVector(1, 1_000, 1), Adjacency.NONE);

  private static final class RandomRun {

    private final Random random;
    private final ClusterModel model = new ClusterModel(new GuaranteeSchedulerFactory().create());
    private final List<String> decisionLog = new ArrayList<>();
    private final Map<String, WorkerState> removedWorkers = new HashMap<>();
    private int jobCount;

    RandomRun(long seed) {
      random = new Random(seed);
    }

    private void decide() {
      model.decide().forEach(decision -> decisionLog.add(decision.toString()));
    }

    void start() {
      start(3, 2, 3);
    }

    void start(int maxDataCentres, int maxRacks, int maxWorkers) {
      createWorkers(maxDataCentres, maxRacks, maxWorkers);
      List<TeamPolicy> teams;
      do {
        teams = randomTeams(3, 2, 4);
      } while (!model.scheduler.check(randomConfig(teams)).isSuccess());
      model.configure(randomConfig(teams));
    }

    void createWorkers(int maxDataCentres, int maxRacks, int maxWorkers) {
      int dataCentres = 1 + random.nextInt(maxDataCentres);
      for (int dataCentre = 0; dataCentre < dataCentres; dataCentre++) {
        int racks = 1 + random.nextInt(maxRacks);
        for (int rack = 0; rack < racks; rack++) {
          int workers = 1 + random.nextInt(maxWorkers);
          for (int worker = 0; worker < workers; worker++) {
            ResourceVector capacity =
                new ResourceVector(8 + random.nextInt(8), 16_000, 2 + 2 * random.nextInt(4));
            String workerId = "dc" + dataCentre + "-r" + rack + "-" + worker;
            model.putWorker(
                new WorkerState(workerId, "r" + rack, "dc" + dataCentre, capacity, true));
          }
        }
      }
    }

    List<TeamPolicy> randomTeams(int maxTeams, int maxGuarantees, int maxTasks) {
      List<TeamPolicy> teams = new ArrayList<>();
      int count = 1 + random.nextInt(maxTeams);
      for (int t = 0; t < count; t++) {
        List<GangShape> guarantees = new ArrayList<>();
        ResourceVector quota = new ResourceVector(8, 16_000, 4);
        int guaranteeCount = random.nextInt(maxGuarantees + 1);
        for (int g = 0; g < guaranteeCount; g++) {
          GangShape shape = randomShape(maxTasks);
          guarantees.add(shape);
          quota = quota.plus(shape.perTask().times(shape.tasks()));
        }
        if (random.nextBoolean()) {
          quota = new ResourceVector(1_000, 1_000_000, 1_000);
        }
        teams.add(new TeamPolicy("t" + t, quota, 1 + random.nextInt(3), guarantees));
      }
      return teams;
    }

    SchedulingConfig randomConfig(List<TeamPolicy> teams) {
      String policy = random.nextBoolean() ? "fragmentation" : "completion-time";
      return new SchedulingConfig(1, policy, teams, Set.of(), Set.of());
    }

    private GangShape randomShape(int maxTasks) {
      ResourceVector perTask =
          new ResourceVector(
              1 + random.nextInt(3), 1_000, random.nextInt(8) == 0 ? 0 : 1 + random.nextInt(2));
      return new GangShape(1 + random.nextInt(maxTasks), perTask, ADJACENCIES[random.nextInt(3)]);
    }

    void step() {
      model.nowMillis += random.nextInt(20_000);
      switch (random.nextInt(16)) {
        case 0, 1, 2 -> submitRandomJobs(1);
        case 3 -> submitRandomJobs(random.nextInt(12));
        case 4 -> randomRunningJob().ifPresent(id -> model.end(id, EndReason.COMPLETED, List.of()));
        case 5 -> randomRunningJob().ifPresent(this::failRandomTask);
        case 6 -> randomRunningJob().ifPresent(id -> model.end(id, EndReason.UNDONE, List.of()));
        case 7 ->
            randomRunningJob()
                .ifPresent(id -> model.scheduler.gangCheckpointed(id, model.nowMillis));
        case 8 -> cancelRandomJobs(1);
        case 9 -> cancelRandomJobs(random.nextInt(6));
        case 10 -> loseRandomWorker();
        case 11 -> returnWorkers();
        case 12 -> toggleRandomDataCentre();
        case 13 ->
            model.replaceScheduler(new GuaranteeSchedulerFactory().create(), random.nextBoolean());
        case 14 -> changeTeamsRandomly();
        default -> endStoppingGangs(1 + random.nextInt(4));
      }
      decide();
    }

    private void submitRandomJobs(int count) {
      for (int i = 0; i < count; i++) {
        List<TeamPolicy> teams = model.config.teams();
        TeamPolicy team = teams.get(random.nextInt(teams.size()));
        boolean guaranteed = !team.guarantees().isEmpty() && random.nextBoolean();
        GangShape shape = guaranteed ? team.guarantees().get(0) : randomShape(5);
        model.submit(newJob(team.team(), shape, random.nextInt(4) == 0, random.nextInt(3) > 0));
      }
    }

    private JobRequest newJob(String team, GangShape shape, boolean urgent, boolean preemptible) {
      String kind = "k" + random.nextInt(2);
      return new JobRequest(
          "j" + jobCount++, team, kind, shape, urgent, 1_000, preemptible, model.nowMillis);
    }

    private java.util.Optional<String> randomRunningJob() {
      List<String> ids = model.runningIds();
      return ids.isEmpty()
          ? java.util.Optional.empty()
          : java.util.Optional.of(ids.get(random.nextInt(ids.size())));
    }

    private void failRandomTask(String jobId) {
      List<String> workers = model.running.get(jobId).workers();
      model.end(jobId, EndReason.TASK_FAILED, List.of(workers.get(random.nextInt(workers.size()))));
    }

    private void cancelRandomJobs(int count) {
      List<String> ids = new ArrayList<>(model.waiting.keySet());
      ids.addAll(model.running.keySet());
      for (int i = 0; i < count && !ids.isEmpty(); i++) {
        model.cancel(ids.remove(random.nextInt(ids.size())));
      }
    }

    private void loseRandomWorker() {
      if (model.workers.isEmpty()) {
        return;
      }
      List<String> workerIds = new ArrayList<>(model.workers.keySet());
      String workerId = workerIds.get(random.nextInt(workerIds.size()));
      WorkerState worker = model.workers.get(workerId);
      if (random.nextBoolean()) {
        model.putWorker(
            new WorkerState(
                workerId, worker.rack(), worker.dataCentre(), worker.capacity(), false));
      } else {
        removedWorkers.put(workerId, worker);
        model.removeWorker(workerId);
      }
    }

    private void returnWorkers() {
      removedWorkers.values().forEach(model::putWorker);
      removedWorkers.clear();
      for (WorkerState worker : List.copyOf(model.workers.values())) {
        model.putWorker(
            new WorkerState(
                worker.workerId(), worker.rack(), worker.dataCentre(), worker.capacity(), true));
      }
    }

    private void toggleRandomDataCentre() {
      String name = "dc" + random.nextInt(3);
      Set<String> dataCentresOut = new HashSet<>(model.config.dataCentresOut());
      if (!dataCentresOut.remove(name)) {
        dataCentresOut.add(name);
      }
      setDataCentresOut(dataCentresOut);
    }

    private void changeTeamsRandomly() {
      List<TeamPolicy> teams = new ArrayList<>();
      for (TeamPolicy team : model.config.teams()) {
        List<GangShape> guarantees = new ArrayList<>(team.guarantees());
        if (random.nextInt(4) == 0) {
          guarantees.add(randomShape(3));
        } else if (!guarantees.isEmpty() && random.nextInt(4) == 0) {
          guarantees.remove(0);
        }
        ResourceVector quota = team.quota();
        teams.add(new TeamPolicy(team.team(), quota, 1 + random.nextInt(3), guarantees));
      }
      SchedulingConfig newConfig =
          new SchedulingConfig(
              model.config.version() + 1,
              model.config.placementPolicy(),
              teams,
              model.config.dataCentresOut(),
              Set.of());
      if (model.scheduler.check(newConfig).isSuccess()) {
        model.configure(newConfig);
      }
    }

    private void setDataCentresOut(Set<String> dataCentresOut) {
      SchedulingConfig current = model.config;
      model.configure(
          new SchedulingConfig(
              current.version() + 1,
              current.placementPolicy(),
              current.teams(),
              dataCentresOut,
              Set.of()));
    }

    private void endStoppingGangs(int count) {
      List<String> ids = new ArrayList<>(model.stopping.keySet());
      for (String id : ids.subList(0, Math.min(count, ids.size()))) {
        EndReason reason = random.nextInt(5) == 0 ? EndReason.COMPLETED : EndReason.PREEMPTED;
        model.end(id, reason, List.of());
      }
    }

    /** Restores all capacity and submits a job for every formable guarantee that is not in use. */
    void reclaimAllGuarantees() {
      returnWorkers();
      setDataCentresOut(Set.of());
      cancelRandomJobs(Integer.MAX_VALUE);
      decide();
      // Fills the fleet with preemptible work, then reclaims all guarantees at once.
      for (TeamPolicy team : model.config.teams()) {
        for (int i = 0; i < 10; i++) {
          model.submit(newJob(team.team(), UNGUARANTEED_SHAPE, false, true));
        }
      }
      for (int i = 0; i < 5; i++) {
        model.nowMillis += 60_000;
        decide();
      }
      List<String> jobIds = new ArrayList<>();
      for (GuaranteeReport report : model.idleGuarantees()) {
        JobRequest job = newJob(report.team(), report.shape(), false, random.nextBoolean());
        model.submit(job);
        jobIds.add(job.jobId());
      }
      for (int i = 0; i < 3; i++) {
        decide();
        endStoppingGangs(Integer.MAX_VALUE);
        model.nowMillis += 1_000;
      }
      decide();
      for (String id : jobIds) {
        assertFalse(
            model.waiting.containsKey(id),
            "guarantee not reclaimed: " + model.scheduler.explain(id, model.nowMillis));
      }
    }
  }
}
