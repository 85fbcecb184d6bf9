package org.hickoryspar.bench;

import static org.hickoryspar.kernel.scheduling.Adjacency.NONE;
import static org.hickoryspar.kernel.scheduling.Adjacency.RACK;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.hickoryspar.kernel.scheduling.Adjacency;
import org.hickoryspar.kernel.scheduling.Decision;
import org.hickoryspar.kernel.scheduling.Decision.Place;
import org.hickoryspar.kernel.scheduling.Decision.Preempt;
import org.hickoryspar.kernel.scheduling.GangShape;
import org.hickoryspar.kernel.scheduling.JobRequest;
import org.hickoryspar.kernel.scheduling.ResourceVector;
import org.hickoryspar.kernel.scheduling.SchedulingConfig;
import org.hickoryspar.kernel.scheduling.TeamPolicy;
import org.hickoryspar.kernel.scheduling.WorkerState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class WorkloadSimulationTest {

  private static final ResourceVector CAPACITY = new ResourceVector(32, 128_000, 8);
  private static final long SECOND_MILLIS = 1_000;

  @DataProvider
  public static Object[][] violations() {
    JobRequest wholeWorker = job("j0", 1, 8, NONE, false, 0);
    JobRequest lateWholeWorker = job("j1", 1, 8, NONE, false, 20 * SECOND_MILLIS);
    JobRequest pair = job("j0", 2, 8, RACK, true, 0);
    Place onA1 = place("j0", "a1");
    return new Object[][] {
      {
        InvariantViolation.OVERCOMMIT,
        List.of(wholeWorker, lateWholeWorker),
        List.of(onA1, place("j1", "a1")),
        99,
        0
      },
      {InvariantViolation.PARTIAL_GANG, List.of(pair), List.of(onA1), 99, 0},
      {InvariantViolation.ADJACENCY, List.of(pair), List.of(place("j0", "a1", "b1")), 99, 0},
      {
        InvariantViolation.OUT_OF_SERVICE,
        List.of(lateWholeWorker),
        List.of(place("j1", "b1")),
        99,
        0
      },
      {
        InvariantViolation.OUT_OF_SERVICE,
        List.of(wholeWorker),
        List.of(place("j0", "unknown")),
        99,
        0
      },
      {
        InvariantViolation.QUOTA,
        List.of(wholeWorker, lateWholeWorker),
        List.of(onA1, place("j1", "a2")),
        8,
        0
      },
      {InvariantViolation.GUARANTEE, List.of(wholeWorker), List.of(onA1), 99, 3},
      {
        InvariantViolation.WRONG_STATE,
        List.of(wholeWorker, lateWholeWorker),
        List.of(onA1, onA1),
        99,
        0
      },
      {
        InvariantViolation.WRONG_STATE,
        List.of(wholeWorker),
        List.of(new Preempt("j0", "j1", "")),
        99,
        0
      },
      {
        InvariantViolation.NON_PREEMPTIBLE_PREEMPTED,
        List.of(wholeWorker, lateWholeWorker),
        List.of(onA1, new Preempt("j0", "j1", "")),
        99,
        0
      },
    };
  }

  /** Guards against a checker that reports no violation because it does not check an invariant. */
  @Test(dataProvider = "violations")
  public void shouldDetectTheViolation(
      InvariantViolation kind,
      List<JobRequest> jobs,
      List<Decision> script,
      int quotaAccelerators,
      int guaranteedWorkers) {
    RunResult result =
        run(jobs, new ScriptedScheduler(script), quotaAccelerators, guaranteedWorkers);
    assertEquals(result.brokenPromises(), Map.of(kind, 1), result.examples().toString());
  }

  /** Guards against a checker that reports violations of a correct scheduler. */
  @Test
  public void shouldFindNoViolationWhenAllInvariantsHold() {
    List<JobRequest> jobs =
        List.of(job("j0", 2, 8, RACK, true, 0), job("j1", 1, 8, NONE, false, 20 * SECOND_MILLIS));
    ScriptedScheduler scheduler =
        new ScriptedScheduler(
            List.of(place("j0", "a1", "a2"), new Preempt("j0", "j1", "urgent work")));
    RunResult result = run(jobs, scheduler, 99, 1);
    assertEquals(result.brokenPromises(), Map.of());
    assertEquals(scheduler.endedGangs(), List.of("j0 PREEMPTED"));
  }

  /** Guards against a baseline scheduler that violates an invariant other than the guarantees. */
  @Test
  public void shouldFindNoViolationWhenTheBaselineRuns() {
    Workload workload = WorkloadGenerator.generate(Deployment.twoYears(60), 1);
    RunResult result = run(workload);
    Map<InvariantViolation, Integer> violations = new TreeMap<>(result.brokenPromises());
    violations.remove(InvariantViolation.GUARANTEE);
    assertEquals(violations, Map.of(), result.examples().toString());
    assertTrue(result.completion().get("all").count() > 50);
  }

  /** Guards against simulations that their seed does not reproduce. */
  @Test
  public void shouldGiveTheSameResultWhenTheClockIsIdeal() {
    Workload workload = WorkloadGenerator.generate(Deployment.twoYears(60), 2);
    RunResult first = run(workload);
    RunResult second = run(workload);
    assertEquals(second.completion(), first.completion());
    assertEquals(second.figures(), first.figures());
  }

  private static RunResult run(Workload workload) {
    Variant variant = new Variant("first-fit", "none");
    WorkloadSimulation simulation =
        new WorkloadSimulation(workload, "none", variant.newScheduler(), true, progress -> {});
    return simulation.run().result(variant.toString());
  }

  private static RunResult run(
      List<JobRequest> jobs,
      ScriptedScheduler scheduler,
      int quotaAccelerators,
      int guaranteedWorkers) {
    ResourceVector quotaResources = new ResourceVector(1_000, 4_000_000, quotaAccelerators);
    List<GangShape> guarantees = new ArrayList<>();
    for (int i = 0; i < guaranteedWorkers; i++) {
      guarantees.add(new GangShape(1, CAPACITY, Adjacency.WORKER));
    }
    List<TeamPolicy> teams =
        List.of(
            new TeamPolicy("team", quotaResources, 1, List.of()),
            new TeamPolicy("holder", quotaResources, 1, guarantees));
    List<WorkerState> workers = List.of(worker("a1", "a"), worker("a2", "a"), worker("b1", "b"));
    List<JobModel> models =
        jobs.stream()
            .map(request -> new JobModel(request, 3_600_000, 1, JobModel.Behaviour.HEALTHY, false))
            .toList();
    // Data centre b is out of service from 10 s on, so that a job at 20 s must not start there.
    Incident outage =
        new Incident.DataCentreOutage(
            10 * SECOND_MILLIS, "b", 10 * SECOND_MILLIS, 60 * SECOND_MILLIS);
    Workload workload =
        new Workload(
            "test",
            1,
            workers,
            new SchedulingConfig(1, "none", teams, Set.of(), Set.of()),
            models,
            List.of(outage),
            40 * SECOND_MILLIS,
            50 * SECOND_MILLIS);
    return new WorkloadSimulation(workload, "none", scheduler, true, progress -> {})
        .run()
        .result("scripted");
  }

  private static Place place(String jobId, String... workers) {
    return new Place(jobId, List.of(workers));
  }

  private static WorkerState worker(String id, String dataCentre) {
    return new WorkerState(id, "rack", dataCentre, CAPACITY, true);
  }

  private static JobRequest job(
      String id,
      int tasks,
      int accelerators,
      Adjacency adjacency,
      boolean preemptible,
      long submittedMillis) {
    GangShape shape = new GangShape(tasks, new ResourceVector(1, 1_000, accelerators), adjacency);
    return new JobRequest(
        id, "team", "kind", shape, false, SECOND_MILLIS, preemptible, submittedMillis);
  }
}
