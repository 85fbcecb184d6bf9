package org.hickoryspar.kernel.scheduling;

import static java.util.stream.Collectors.joining;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.ServiceLoader;
import java.util.Set;
import org.hickoryspar.kernel.value.Problem;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class GuaranteeSchedulerTest {

  private static final ResourceVector WORKER_CAPACITY = new ResourceVector(32, 128_000, 8);
  private static final ResourceVector ONE_ACCELERATOR = new ResourceVector(2, 4_000, 1);
  private static final GangShape SINGLE_TASK = new GangShape(1, ONE_ACCELERATOR, Adjacency.NONE);
  private static final GangShape WHOLE_WORKER = new GangShape(8, ONE_ACCELERATOR, Adjacency.WORKER);
  private static final GangShape WHOLE_RACK = new GangShape(16, ONE_ACCELERATOR, Adjacency.RACK);

  private ClusterModel model;
  private int jobCount;

  /** Creates two data centres with one rack of two workers each. */
  @BeforeMethod
  public void buildFleet() {
    model = new ClusterModel(new GuaranteeSchedulerFactory().create());
    for (String name : List.of("a-r1-1", "a-r1-2", "b-r1-1", "b-r1-2")) {
      model.putWorker(new WorkerState(name, "r1", name.substring(0, 1), WORKER_CAPACITY, true));
    }
    configure(Set.of(), team("t", 1), team("u", 1));
    jobCount = 0;
  }

  /** Guards against a scheduler that settings cannot select by name. */
  @Test
  public void shouldBeRegisteredAsGuarantee() {
    assertTrue(
        ServiceLoader.load(SchedulerFactory.class).stream()
            .anyMatch(provider -> provider.get().name().equals("guarantee")));
  }

  // -- check

  @DataProvider
  Object[][] refusedConfigurations() {
    TeamPolicy rackGuarantee = team("t", 1, WHOLE_RACK);
    TeamPolicy smallQuota = new TeamPolicy("t", ONE_ACCELERATOR, 1, List.of(WHOLE_WORKER));
    return new Object[][] {
      {"best", List.of(rackGuarantee), "best is not registered"},
      {"fragmentation", List.of(rackGuarantee, rackGuarantee), "team t is listed twice"},
      {"fragmentation", List.of(smallQuota), "more than its quota of 1 accelerators"},
      {
        "fragmentation",
        List.of(team("t", 1, WHOLE_RACK, WHOLE_RACK), team("u", 1, WHOLE_WORKER)),
        "team u, 8 tasks"
      },
      {
        "fragmentation",
        List.of(team("t", 1, new GangShape(20, ONE_ACCELERATOR, Adjacency.RACK))),
        "At most 16 of 20 tasks fit, on rack r1 in a; missing 4 accelerators, 8 cores"
      },
    };
  }

  /** Guards against accepting guarantees that cannot be formed, and against a vague error. */
  @Test(dataProvider = "refusedConfigurations")
  public void shouldNameTheProblemWhenAConfigurationIsRefused(
      String policy, List<TeamPolicy> teams, String expected) {
    SchedulingConfig config = new SchedulingConfig(2, policy, teams, Set.of(), Set.of());
    String message = model.scheduler.check(config).problem().map(Problem::message).orElse("");
    assertTrue(message.contains(expected), message);
  }

  // -- decide: placement

  @DataProvider
  Object[][] gangs() {
    return new Object[][] {
      {8, Adjacency.WORKER, Set.of(), "Place"},
      {9, Adjacency.WORKER, Set.of(), "Reject"},
      {16, Adjacency.RACK, Set.of(), "Place"},
      {17, Adjacency.RACK, Set.of(), "Reject"},
      {32, Adjacency.NONE, Set.of(), "Place"},
      {33, Adjacency.NONE, Set.of(), "Reject"},
      {16, Adjacency.NONE, Set.of("b"), "Place"},
      {17, Adjacency.NONE, Set.of("b"), ""},
    };
  }

  /** Guards against partial gangs, overcommit, ignored adjacency and out-of-service workers. */
  @Test(dataProvider = "gangs")
  public void shouldPlaceTheWholeGangOrNothing(
      int tasks, Adjacency adjacency, Set<String> dataCentresOut, String expected) {
    configure(dataCentresOut, team("t", 1));
    submit("t", new GangShape(tasks, ONE_ACCELERATOR, adjacency), false, true);
    assertEquals(kinds(model.decide()), expected);
  }

  /** Guards against small jobs that fragment the workers needed for a guaranteed shape. */
  @Test
  public void shouldPackSmallJobsWhenAGuaranteeNeedsAWholeWorker() {
    configure(Set.of(), team("t", 1, WHOLE_WORKER), team("u", 1));
    submit(8, "u", SINGLE_TASK, false, true);
    model.decide();
    long usedWorkers =
        model.running.values().stream().flatMap(g -> g.workers().stream()).distinct().count();
    assertEquals(usedWorkers, 1);
  }

  /** Guards against overflow of the total memory: 1,700 workers may have 2 TB each. */
  @Test
  public void shouldPlaceJobsWhenTheMemoryOfTheFleetExceedsAnInt() {
    ResourceVector capacity = new ResourceVector(32, 2_000_000_000, 8);
    for (String name : List.of("c-r1-1", "c-r1-2")) {
      model.putWorker(new WorkerState(name, "r1", "c", capacity, true));
    }
    submit("t", SINGLE_TASK, false, true);
    assertEquals(kinds(model.decide()), "Place");
  }

  // -- decide: guarantees

  /** Guards against non-preemptible work on the last workers that can form a guarantee. */
  @Test
  public void shouldNotStartNonPreemptibleWorkWhenItWouldBreakAGuarantee() {
    configure(Set.of(), team("t", 1, WHOLE_RACK), team("u", 1));
    submit(4, "u", WHOLE_WORKER, false, false);
    assertEquals(kinds(model.decide()), "PlacePlace");
    submit(2, "u", WHOLE_WORKER, false, true);
    assertEquals(kinds(model.decide()), "PlacePlace");
    assertTrue(model.scheduler.guarantees().get(0).formable());
  }

  /** Guards against costly victims, and against other jobs that take the freed resources. */
  @Test
  public void shouldPreemptTheCheapestGangWhenAGuaranteeIsReclaimed() {
    configure(Set.of(), team("t", 1, WHOLE_WORKER), team("u", 1));
    List<String> ids = submit(4, "u", WHOLE_WORKER, false, true);
    model.decide();
    model.nowMillis = 1_000_000;
    model.scheduler.gangCheckpointed(ids.get(2), 990_000);
    String beneficiary = submit("t", WHOLE_WORKER, false, true);
    assertEquals(kinds(model.decide()), "Preempt");
    assertEquals(model.stopping, Map.of(ids.get(2), beneficiary));
    assertTrue(model.scheduler.explain(beneficiary, 0).contains(ids.get(2)));
    submit("u", SINGLE_TASK, true, true);
    model.end(ids.get(2), EndReason.PREEMPTED, List.of());
    model.decide();
    assertTrue(model.running.containsKey(beneficiary));
  }

  /** Guards against a broken guarantee that is not reported or not restored at once. */
  @Test
  public void shouldReportAndRestoreAGuaranteeWhenADataCentreLeavesAndReturns() {
    configure(Set.of(), team("t", 1, WHOLE_RACK), team("u", 1, WHOLE_RACK));
    assertTrue(model.scheduler.guarantees().stream().allMatch(GuaranteeReport::formable));
    configure(Set.of("b"), team("t", 1, WHOLE_RACK), team("u", 1, WHOLE_RACK));
    model.decide();
    GuaranteeReport broken =
        model.scheduler.guarantees().stream().filter(r -> !r.formable()).findFirst().orElseThrow();
    assertTrue(broken.missing().contains("missing 16 accelerators"), broken.missing());
    configure(Set.of(), team("t", 1, WHOLE_RACK), team("u", 1, WHOLE_RACK));
    assertTrue(model.scheduler.guarantees().stream().allMatch(GuaranteeReport::formable));
  }

  /** Guards against a broken guarantee that moving a running gang would restore. */
  @Test
  public void shouldMoveAGangWhenAGuaranteeCanBeFormedOnlyOnItsWorkers() {
    configure(Set.of("b"), team("t", 1, WHOLE_WORKER));
    submit("t", WHOLE_WORKER, false, true);
    model.decide();
    configure(Set.of(), team("t", 1, WHOLE_WORKER), team("u", 1, WHOLE_RACK));
    WorkerState worker = model.workers.get("b-r1-1");
    model.putWorker(new WorkerState("b-r1-1", "r1", "b", worker.capacity(), false));
    model.nowMillis += 1_000;
    assertEquals(kinds(model.decide()), "Preempt");
    model.end("j0", EndReason.PREEMPTED, List.of());
    model.decide();
    assertEquals(model.running.get("j0").workers().get(0), "b-r1-2");
    assertTrue(model.scheduler.guarantees().stream().allMatch(GuaranteeReport::formable));
  }

  // -- decide: queue

  /**
   * Guards against a team that gets all workers by submitting first, and against ignored weights.
   */
  @Test
  public void shouldShareByWeightWhenTeamsCompete() {
    configure(Set.of(), team("t", 1), team("u", 3));
    submit(40, "t", SINGLE_TASK, false, true);
    submit(40, "u", SINGLE_TASK, false, true);
    model.decide();
    long jobsOfT = model.running.values().stream().filter(g -> g.job().team().equals("t")).count();
    assertEquals(jobsOfT, 8);
  }

  /** Guards against urgent work that waits behind batch work. */
  @Test
  public void shouldPreemptBatchWorkWhenUrgentWorkDoesNotFit() {
    submit(4, "u", WHOLE_WORKER, false, true);
    model.decide();
    submit("t", SINGLE_TASK, true, true);
    submit("t", SINGLE_TASK, false, true);
    assertEquals(kinds(model.decide()), "Preempt");
  }

  @DataProvider
  Object[][] backfills() {
    return new Object[][] {{"quick", 1}, {"slow", 0}, {"unknown", 0}};
  }

  /** Guards against starvation of large jobs, and against backfill by declared run times. */
  @Test(dataProvider = "backfills")
  public void shouldBackfillOnlyWhenHistoryPredictsATimelyEnd(String kind, int expected) {
    configure(Set.of("b"), team("t", 1), team("u", 1));
    for (int run = 0; run < 3; run++) {
      completeJob("quick", 10_000);
      completeJob("slow", 10_000_000);
    }
    submit("u", WHOLE_WORKER, false, true);
    submit("u", new GangShape(7, ONE_ACCELERATOR, Adjacency.WORKER), false, true);
    model.decide();
    submit("t", WHOLE_RACK, false, true);
    model.decide();
    model.submit(new JobRequest("b", "t", kind, SINGLE_TASK, false, 1, true, model.nowMillis));
    model.decide();
    assertEquals(model.running.containsKey("b") ? 1 : 0, expected);
  }

  // -- decide: failures

  /** Guards against a worker that fails every job and is not isolated, or isolated for ever. */
  @Test
  public void shouldIsolateAndProbeAWorkerWhenThreeJobsFailOnIt() {
    configure(Set.of("b"), team("t", 1), team("u", 1));
    List<String> ids = submit(3, "t", SINGLE_TASK, false, true);
    model.decide();
    String worker = model.running.get(ids.get(0)).workers().get(0);
    for (String id : ids) {
      assertEquals(model.scheduler.isolatedWorkers(), List.of());
      model.end(id, EndReason.TASK_FAILED, List.of(worker));
    }
    assertEquals(model.scheduler.isolatedWorkers(), List.of(worker));
    submit(20, "t", SINGLE_TASK, false, true);
    model.decide();
    assertEquals(tasksOn(worker), 0);
    model.nowMillis += FailureTracker.INITIAL_BACKOFF_MILLIS;
    model.decide();
    assertEquals(tasksOn(worker), 1);
    model.nowMillis += FailureTracker.FAST_FAILURE_MILLIS + 1;
    model.decide();
    assertEquals(model.scheduler.isolatedWorkers(), List.of());
    assertEquals(tasksOn(worker), 8);
  }

  /** Guards against endless restarts of a faulty job, and isolation of workers it failed on. */
  @Test
  public void shouldRejectAJobWhenItFailedOnThreeHealthyWorkers() {
    String id = submit("t", SINGLE_TASK, false, true);
    for (int attempt = 0; attempt < 3; attempt++) {
      assertEquals(kinds(model.decide()), "Place");
      model.end(id, EndReason.TASK_FAILED, model.running.get(id).workers());
    }
    assertEquals(kinds(model.decide()), "Reject");
    assertEquals(model.scheduler.isolatedWorkers(), List.of());
  }

  /** Guards against starting all waiting jobs at once in a data centre that has returned. */
  @Test
  public void shouldRampUpADataCentreWhenItReturns() {
    configure(Set.of("b"), team("t", 1), team("u", 1));
    submit(32, "t", SINGLE_TASK, false, true);
    model.decide();
    configure(Set.of(), team("t", 1), team("u", 1));
    int started = model.decide().size();
    assertTrue(started > 0 && started < 8, "started at once: " + started);
    model.nowMillis += DataCentreRamp.RAMP_MILLIS;
    model.decide();
    assertEquals(model.running.size(), 32);
  }

  // -- explain

  @DataProvider
  Object[][] reasons() {
    return new Object[][] {
      {"nobody", SINGLE_TASK, true, "team nobody is not in the configuration"},
      {"small", new GangShape(2, ONE_ACCELERATOR, Adjacency.NONE), true, "raise the quota"},
      {"u", WHOLE_WORKER, true, "at most 7 fit, on rack r1 in a; free capacity for 13 tasks"},
      {"u", WHOLE_RACK, true, "holds 13 of its 16 tasks"},
      {"u", SINGLE_TASK, false, "may not be preempted"},
    };
  }

  /** Guards against explanations that name no cause or no remedy. */
  @Test(dataProvider = "reasons")
  public void shouldNameTheCauseWhenAJobWaits(
      String team, GangShape shape, boolean preemptible, String expected) {
    TeamPolicy smallTeam = new TeamPolicy("small", ONE_ACCELERATOR.times(2), 1, List.of());
    GangShape sevenTasks = new GangShape(7, ONE_ACCELERATOR, Adjacency.WORKER);
    configure(Set.of("b"), team("t", 1, sevenTasks, sevenTasks), team("u", 1), smallTeam);
    // The memory demand forces the two tasks onto different workers.
    ResourceVector largeMemory = new ResourceVector(2, 100_000, 1);
    submit(2, "u", new GangShape(1, largeMemory, Adjacency.NONE), false, false);
    submit("small", SINGLE_TASK, false, true);
    model.decide();
    String id = jobCount + "x";
    JobRequest job = new JobRequest(id, team, "k", shape, false, 1, preemptible, 0);
    model.scheduler.jobQueued(job);
    model.scheduler.decide(model.nowMillis);
    String explanation = model.scheduler.explain(id, model.nowMillis);
    assertTrue(explanation.contains(expected), explanation);
  }

  // -- RunTimeEstimator

  /** Guards against estimates from too few runs or from declared run times. */
  @Test
  public void shouldEstimateFromTheLastRunsOfTheKind() {
    RunTimeEstimator estimator = new RunTimeEstimator.Learned();
    JobRequest job = new JobRequest("j", "t", "k", SINGLE_TASK, false, 5, true, 0);
    for (long runMillis : new long[] {100, 300}) {
      estimator.recordCompletion(job, runMillis);
    }
    assertFalse(estimator.estimateMillis(job).isPresent());
    estimator.recordCompletion(job, 200);
    assertEquals(estimator.estimateMillis(job).orElse(0), 300);
    assertEquals(new RunTimeEstimator.Declared().estimateMillis(job).orElse(0), 5);
  }

  private void completeJob(String kind, long runMillis) {
    String id = "learn" + jobCount++;
    model.submit(new JobRequest(id, "t", kind, SINGLE_TASK, false, 1, true, model.nowMillis));
    model.decide();
    model.nowMillis += runMillis;
    model.end(id, EndReason.COMPLETED, List.of());
  }

  private void configure(Set<String> dataCentresOut, TeamPolicy... teams) {
    model.configure(
        new SchedulingConfig(1, "fragmentation", List.of(teams), dataCentresOut, Set.of()));
  }

  private static TeamPolicy team(String name, double weight, GangShape... guarantees) {
    return new TeamPolicy(name, WORKER_CAPACITY.times(4), weight, List.of(guarantees));
  }

  private List<String> submit(
      int count, String team, GangShape shape, boolean urgent, boolean preemptible) {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ids.add(submit(team, shape, urgent, preemptible));
    }
    return ids;
  }

  private String submit(String team, GangShape shape, boolean urgent, boolean preemptible) {
    String id = "j" + jobCount++;
    model.submit(new JobRequest(id, team, "k", shape, urgent, 1_000, preemptible, model.nowMillis));
    return id;
  }

  private long tasksOn(String worker) {
    return model.running.values().stream()
        .flatMap(gang -> gang.workers().stream())
        .filter(worker::equals)
        .count();
  }

  private static String kinds(List<Decision> decisions) {
    return decisions.stream().map(d -> d.getClass().getSimpleName()).collect(joining());
  }
}
