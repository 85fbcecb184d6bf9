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

  private static final ResourceVector WORKER = new ResourceVector(32, 128_000, 8);
  private static final ResourceVector GPU = new ResourceVector(2, 4_000, 1);
  private static final GangShape ONE = new GangShape(1, GPU, Adjacency.NONE);
  private static final GangShape WHOLE = new GangShape(8, GPU, Adjacency.WORKER);
  private static final GangShape RACK = new GangShape(16, GPU, Adjacency.RACK);

  private ClusterModel model;
  private int jobs;

  /** Builds two data centres with one rack of two workers each. */
  @BeforeMethod
  public void buildFleet() {
    model = new ClusterModel(new GuaranteeSchedulerFactory().create());
    for (String name : List.of("a-r1-1", "a-r1-2", "b-r1-1", "b-r1-2")) {
      model.worker(new WorkerState(name, "r1", name.substring(0, 1), WORKER, true));
    }
    configure(Set.of(), team("t", 1), team("u", 1));
    jobs = 0;
  }

  /** Guards against a scheduler that settings cannot choose. */
  @Test
  public void shouldBeFoundUnderItsName() {
    assertTrue(
        ServiceLoader.load(SchedulerFactory.class).stream()
            .anyMatch(provider -> provider.get().name().equals("guarantee")));
  }

  // -- check

  @DataProvider
  Object[][] refusedConfigurations() {
    TeamPolicy rack = team("t", 1, RACK);
    TeamPolicy small = new TeamPolicy("t", GPU, 1, List.of(WHOLE));
    return new Object[][] {
      {"best", List.of(rack), "best is not registered"},
      {"fragmentation", List.of(rack, rack), "team t is listed twice"},
      {"fragmentation", List.of(small), "more than its quota of 1 accelerators"},
      {"fragmentation", List.of(team("t", 1, RACK, RACK), team("u", 1, WHOLE)), "team u, 8 tasks"},
      {
        "fragmentation",
        List.of(team("t", 1, new GangShape(20, GPU, Adjacency.RACK))),
        "At most 16 of 20 tasks fit, on rack r1 in a; missing 4 accelerators, 8 cores"
      },
    };
  }

  /** Guards against an accepted configuration that cannot be honoured, and a vague refusal. */
  @Test(dataProvider = "refusedConfigurations")
  public void shouldNameWhatIsMissingWhenAConfigurationIsRefused(
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

  /** Guards against partial gangs, overcommit, ignored adjacency and starts where it is out. */
  @Test(dataProvider = "gangs")
  public void shouldPlaceTheWholeGangOrNothing(
      int tasks, Adjacency adjacency, Set<String> out, String expected) {
    configure(out, team("t", 1));
    submit("t", new GangShape(tasks, GPU, adjacency), false, true);
    assertEquals(kinds(model.decide()), expected);
  }

  /** Guards against small jobs that break up the last place for a guaranteed shape. */
  @Test
  public void shouldKeepWorkersWholeWhenSmallJobsArePlaced() {
    configure(Set.of(), team("t", 1, WHOLE), team("u", 1));
    submit(8, "u", ONE, false, true);
    model.decide();
    long used =
        model.running.values().stream().flatMap(g -> g.workers().stream()).distinct().count();
    assertEquals(used, 1);
  }

  /** Guards against sums over the fleet that overflow: 1,700 workers may have 2 TB each. */
  @Test
  public void shouldPlaceJobsWhenTheMemoryOfTheFleetExceedsAnInt() {
    ResourceVector huge = new ResourceVector(32, 2_000_000_000, 8);
    for (String name : List.of("c-r1-1", "c-r1-2")) {
      model.worker(new WorkerState(name, "r1", "c", huge, true));
    }
    submit("t", ONE, false, true);
    assertEquals(kinds(model.decide()), "Place");
  }

  // -- decide: guarantees

  /** Guards against work that may not be preempted in the place of a guarantee. */
  @Test
  public void shouldHoldBackWorkThatWouldTakeAGuaranteeForGood() {
    configure(Set.of(), team("t", 1, RACK), team("u", 1));
    submit(4, "u", WHOLE, false, false);
    assertEquals(kinds(model.decide()), "PlacePlace");
    submit(2, "u", WHOLE, false, true);
    assertEquals(kinds(model.decide()), "PlacePlace");
    assertTrue(model.scheduler.guarantees().get(0).formable());
  }

  /** Guards against expensive victims, and against a lost reservation for the beneficiary. */
  @Test
  public void shouldPreemptTheCheapestGangWhenAGuaranteeIsReclaimed() {
    configure(Set.of(), team("t", 1, WHOLE), team("u", 1));
    List<String> ids = submit(4, "u", WHOLE, false, true);
    model.decide();
    model.nowMillis = 1_000_000;
    model.scheduler.gangCheckpointed(ids.get(2), 990_000);
    String asked = submit("t", WHOLE, false, true);
    assertEquals(kinds(model.decide()), "Preempt");
    assertEquals(model.stopping, Map.of(ids.get(2), asked));
    assertTrue(model.scheduler.explain(asked, 0).contains(ids.get(2)));
    submit("u", ONE, true, true);
    model.end(ids.get(2), EndReason.PREEMPTED, List.of());
    model.decide();
    assertTrue(model.running.containsKey(asked));
  }

  /** Guards against a guarantee that silently stays lost, and work that delays its return. */
  @Test
  public void shouldReportAndRestoreAGuaranteeWhenADataCentreLeavesAndReturns() {
    configure(Set.of(), team("t", 1, RACK), team("u", 1, RACK));
    assertTrue(model.scheduler.guarantees().stream().allMatch(GuaranteeReport::formable));
    configure(Set.of("b"), team("t", 1, RACK), team("u", 1, RACK));
    model.decide();
    GuaranteeReport lost =
        model.scheduler.guarantees().stream().filter(r -> !r.formable()).findFirst().orElseThrow();
    assertTrue(lost.missing().contains("missing 16 accelerators"), lost.missing());
    configure(Set.of(), team("t", 1, RACK), team("u", 1, RACK));
    assertTrue(model.scheduler.guarantees().stream().allMatch(GuaranteeReport::formable));
  }

  /** Guards against a guarantee that is lost although moving a running gang would restore it. */
  @Test
  public void shouldMoveAGangWhenAGuaranteeCanBeFormedOnlyInItsPlace() {
    configure(Set.of("b"), team("t", 1, WHOLE));
    submit("t", WHOLE, false, true);
    model.decide();
    configure(Set.of(), team("t", 1, WHOLE), team("u", 1, RACK));
    WorkerState lost = model.workers.get("b-r1-1");
    model.worker(new WorkerState("b-r1-1", "r1", "b", lost.capacity(), false));
    model.nowMillis += 1_000;
    assertEquals(kinds(model.decide()), "Preempt");
    model.end("j0", EndReason.PREEMPTED, List.of());
    model.decide();
    assertEquals(model.running.get("j0").workers().get(0), "b-r1-2");
    assertTrue(model.scheduler.guarantees().stream().allMatch(GuaranteeReport::formable));
  }

  // -- decide: queue

  /** Guards against a team that takes the fleet because it submits first, and ignored weights. */
  @Test
  public void shouldShareByWeightWhenTeamsCompete() {
    configure(Set.of(), team("t", 1), team("u", 3));
    submit(40, "t", ONE, false, true);
    submit(40, "u", ONE, false, true);
    model.decide();
    long first = model.running.values().stream().filter(g -> g.job().team().equals("t")).count();
    assertEquals(first, 8);
  }

  /** Guards against urgent work that waits behind batch work. */
  @Test
  public void shouldPreemptBatchWorkWhenUrgentWorkFindsNoRoom() {
    submit(4, "u", WHOLE, false, true);
    model.decide();
    submit("t", ONE, true, true);
    submit("t", ONE, false, true);
    assertEquals(kinds(model.decide()), "Preempt");
  }

  @DataProvider
  Object[][] backfills() {
    return new Object[][] {{"quick", 1}, {"slow", 0}, {"unknown", 0}};
  }

  /** Guards against starved large jobs, and against backfill that believes declared times. */
  @Test(dataProvider = "backfills")
  public void shouldBackfillOnlyWhatHistoryShowsToEndInTime(String kind, int expected) {
    configure(Set.of("b"), team("t", 1), team("u", 1));
    for (int run = 0; run < 3; run++) {
      learn("quick", 10_000);
      learn("slow", 10_000_000);
    }
    submit("u", WHOLE, false, true);
    submit("u", new GangShape(7, GPU, Adjacency.WORKER), false, true);
    model.decide();
    submit("t", RACK, false, true);
    model.decide();
    model.submit(new JobRequest("b", "t", kind, ONE, false, 1, true, model.nowMillis));
    model.decide();
    assertEquals(model.running.containsKey("b") ? 1 : 0, expected);
  }

  // -- decide: faults

  /** Guards against a worker that fails every job and is never taken out or never comes back. */
  @Test
  public void shouldIsolateAWorkerAndProbeItWithOneJob() {
    configure(Set.of("b"), team("t", 1), team("u", 1));
    List<String> ids = submit(3, "t", ONE, false, true);
    model.decide();
    String worker = model.running.get(ids.get(0)).workers().get(0);
    for (String id : ids) {
      assertEquals(model.scheduler.isolatedWorkers(), List.of());
      model.end(id, EndReason.TASK_FAILED, List.of(worker));
    }
    assertEquals(model.scheduler.isolatedWorkers(), List.of(worker));
    submit(20, "t", ONE, false, true);
    model.decide();
    assertEquals(on(worker), 0);
    model.nowMillis += FailureTracker.INITIAL_BACKOFF_MILLIS;
    model.decide();
    assertEquals(on(worker), 1);
    model.nowMillis += FailureTracker.FAST_FAILURE_MILLIS + 1;
    model.decide();
    assertEquals(model.scheduler.isolatedWorkers(), List.of());
    assertEquals(on(worker), 8);
  }

  /** Guards against a job that fails for ever, and against healthy workers blamed for it. */
  @Test
  public void shouldRejectAJobWhenItFailedOnThreeHealthyWorkers() {
    String id = submit("t", ONE, false, true);
    for (int attempt = 0; attempt < 3; attempt++) {
      assertEquals(kinds(model.decide()), "Place");
      model.end(id, EndReason.TASK_FAILED, model.running.get(id).workers());
    }
    assertEquals(kinds(model.decide()), "Reject");
    assertEquals(model.scheduler.isolatedWorkers(), List.of());
  }

  /** Guards against a rush of all waiting jobs into a data centre that has just returned. */
  @Test
  public void shouldFillADataCentreStepByStepWhenItReturns() {
    configure(Set.of("b"), team("t", 1), team("u", 1));
    submit(32, "t", ONE, false, true);
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
      {"nobody", ONE, true, "team nobody is not in the configuration"},
      {"small", new GangShape(2, GPU, Adjacency.NONE), true, "raise the quota"},
      {"u", WHOLE, true, "at most 7 fit, on rack r1 in a; free capacity for 13 tasks"},
      {"u", RACK, true, "holds 13 of its 16 tasks"},
      {"u", ONE, false, "may not be preempted"},
    };
  }

  /** Guards against explanations that name no cause or nothing to act on. */
  @Test(dataProvider = "reasons")
  public void shouldNameTheCauseWhenAJobWaits(
      String team, GangShape shape, boolean preemptible, String expected) {
    TeamPolicy small = new TeamPolicy("small", GPU.times(2), 1, List.of());
    GangShape seven = new GangShape(7, GPU, Adjacency.WORKER);
    configure(Set.of("b"), team("t", 1, seven, seven), team("u", 1), small);
    // Memory keeps these two on different workers.
    ResourceVector wide = new ResourceVector(2, 100_000, 1);
    submit(2, "u", new GangShape(1, wide, Adjacency.NONE), false, false);
    submit("small", ONE, false, true);
    model.decide();
    String id = jobs + "x";
    JobRequest job = new JobRequest(id, team, "k", shape, false, 1, preemptible, 0);
    model.scheduler.jobQueued(job);
    model.scheduler.decide(model.nowMillis);
    String reason = model.scheduler.explain(id, model.nowMillis);
    assertTrue(reason.contains(expected), reason);
  }

  // -- RunTimeEstimator

  /** Guards against estimates from too little history or from declared times. */
  @Test
  public void shouldEstimateFromTheLastRunsOfTheKind() {
    RunTimeEstimator learned = new RunTimeEstimator.Learned();
    JobRequest job = new JobRequest("j", "t", "k", ONE, false, 5, true, 0);
    for (long ranMillis : new long[] {100, 300}) {
      learned.recordCompletion(job, ranMillis);
    }
    assertFalse(learned.estimateMillis(job).isPresent());
    learned.recordCompletion(job, 200);
    assertEquals(learned.estimateMillis(job).orElse(0), 300);
    assertEquals(new RunTimeEstimator.Declared().estimateMillis(job).orElse(0), 5);
  }

  private void learn(String kind, long ranMillis) {
    String id = "learn" + jobs++;
    model.submit(new JobRequest(id, "t", kind, ONE, false, 1, true, model.nowMillis));
    model.decide();
    model.nowMillis += ranMillis;
    model.end(id, EndReason.COMPLETED, List.of());
  }

  private void configure(Set<String> out, TeamPolicy... teams) {
    model.configure(new SchedulingConfig(1, "fragmentation", List.of(teams), out, Set.of()));
  }

  private static TeamPolicy team(String name, double weight, GangShape... guarantees) {
    return new TeamPolicy(name, WORKER.times(4), weight, List.of(guarantees));
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
    String id = "j" + jobs++;
    model.submit(new JobRequest(id, team, "k", shape, urgent, 1_000, preemptible, model.nowMillis));
    return id;
  }

  private long on(String worker) {
    return model.running.values().stream()
        .flatMap(gang -> gang.workers().stream())
        .filter(worker::equals)
        .count();
  }

  private static String kinds(List<Decision> decisions) {
    return decisions.stream().map(d -> d.getClass().getSimpleName()).collect(joining());
  }
}
