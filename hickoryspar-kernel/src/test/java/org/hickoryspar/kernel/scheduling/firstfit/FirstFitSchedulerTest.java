package org.hickoryspar.kernel.scheduling.firstfit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.ServiceLoader;
import java.util.Set;
import java.util.stream.IntStream;
import org.hickoryspar.kernel.scheduling.Adjacency;
import org.hickoryspar.kernel.scheduling.Decision;
import org.hickoryspar.kernel.scheduling.EndReason;
import org.hickoryspar.kernel.scheduling.GangShape;
import org.hickoryspar.kernel.scheduling.JobRequest;
import org.hickoryspar.kernel.scheduling.ResourceVector;
import org.hickoryspar.kernel.scheduling.SchedulerFactory;
import org.hickoryspar.kernel.scheduling.SchedulingConfig;
import org.hickoryspar.kernel.scheduling.TeamPolicy;
import org.hickoryspar.kernel.scheduling.WorkerState;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class FirstFitSchedulerTest {

  private static final ResourceVector WORKER_CAPACITY = new ResourceVector(32, 128_000, 8);
  private static final ResourceVector TASK_RESOURCES = new ResourceVector(4, 16_000, 4);

  @DataProvider
  public static Object[][] placements() {
    return new Object[][] {
      {"spreads without adjacency", 3, Adjacency.NONE, Set.of(), Set.of(), "a1 a1 a2"},
      {"keeps a gang on one worker", 2, Adjacency.WORKER, Set.of(), Set.of("a1"), "a2 a2"},
      {"keeps a gang in one rack", 6, Adjacency.RACK, Set.of(), Set.of(), "b1 b1 b2 b2 b3 b3"},
      {
        "skips a data centre that is out of service",
        2,
        Adjacency.NONE,
        Set.of("dc-a"),
        Set.of(),
        "b1 b1"
      },
      {"skips a worker that is out of service", 1, Adjacency.NONE, Set.of(), Set.of("a1"), "a2"},
      {"waits when no worker fits", 3, Adjacency.WORKER, Set.of(), Set.of(), ""},
      {"waits when no rack fits", 7, Adjacency.RACK, Set.of(), Set.of(), ""},
    };
  }

  /** Guards against ignored adjacency and against placement on out-of-service workers. */
  @Test(dataProvider = "placements")
  public void shouldPlaceOnTheFirstWorkersThatFit(
      String name,
      int tasks,
      Adjacency adjacency,
      Set<String> dataCentresOut,
      Set<String> workersOut,
      String expected) {
    FirstFitScheduler scheduler = new FirstFitScheduler();
    for (String id : List.of("a1", "a2", "b1", "b2", "b3")) {
      scheduler.workerChanged(worker(id));
    }
    scheduler.configure(new SchedulingConfig(1, "any", List.of(), dataCentresOut, workersOut));
    scheduler.jobQueued(job("job", tasks, adjacency));
    List<Decision> decisions =
        expected.isEmpty()
            ? List.of()
            : List.of(new Decision.Place("job", List.of(expected.split(" "))));
    assertEquals(scheduler.decide(0), decisions, name);
  }

  /** Guards against a team that holds more than its quota. */
  @Test
  public void shouldWaitWhenTheQuotaIsReached() {
    FirstFitScheduler scheduler = new FirstFitScheduler();
    scheduler.workerChanged(worker("a1"));
    TeamPolicy policy = new TeamPolicy("team", TASK_RESOURCES, 1, List.of());
    scheduler.configure(new SchedulingConfig(1, "any", List.of(policy), Set.of(), Set.of()));
    scheduler.jobQueued(job("first", 1, Adjacency.NONE));
    scheduler.jobQueued(job("second", 1, Adjacency.NONE));
    assertEquals(scheduler.decide(0).size(), 1);
    scheduler.gangEnded("first", EndReason.COMPLETED, List.of(), 1);
    assertEquals(scheduler.decide(1).size(), 1);
  }

  /** Guards against a faulty worker that receives the same job over and over. */
  @Test
  public void shouldAvoidTheWorkerWhenTheJobFailedThere() {
    FirstFitScheduler scheduler = new FirstFitScheduler();
    scheduler.workerChanged(worker("a1"));
    scheduler.workerChanged(worker("a2"));
    scheduler.jobQueued(job("job", 1, Adjacency.NONE));
    scheduler.decide(0);
    scheduler.gangEnded("job", EndReason.TASK_FAILED, List.of("a1"), 1);
    assertEquals(scheduler.decide(2), List.of(new Decision.Place("job", List.of("a2"))));
  }

  /** Guards against overcommitted workers after any order of events. */
  @Test
  public void shouldNeverOvercommitWhenEventsAreRandom() {
    Random random = new Random(7);
    FirstFitScheduler scheduler = new FirstFitScheduler();
    Map<String, List<String>> running = new HashMap<>();
    IntStream.range(1, 6).forEach(i -> scheduler.workerChanged(worker("a" + i)));
    for (int step = 0; step < 2_000; step++) {
      Adjacency adjacency = Adjacency.values()[random.nextInt(3)];
      scheduler.jobQueued(job("job" + step, 1 + random.nextInt(4), adjacency));
      if (random.nextInt(10) == 0) {
        scheduler.workerRemoved("a3");
      } else if (random.nextInt(10) == 0) {
        scheduler.workerChanged(worker("a3"));
      }
      for (Decision decision : scheduler.decide(step)) {
        running.put(decision.jobId(), ((Decision.Place) decision).workers());
      }
      Map<String, Integer> accelerators = new HashMap<>();
      running
          .values()
          .forEach(
              workerIds ->
                  workerIds.forEach(workerId -> accelerators.merge(workerId, 4, Integer::sum)));
      assertTrue(accelerators.values().stream().allMatch(used -> used <= 8), "step " + step);
      List<String> ids = new ArrayList<>(running.keySet());
      if (!ids.isEmpty() && random.nextInt(3) > 0) {
        String ended = ids.get(random.nextInt(ids.size()));
        EndReason[] reasons = EndReason.values();
        scheduler.gangEnded(ended, reasons[random.nextInt(reasons.length)], List.of("a1"), step);
        running.remove(ended);
      }
    }
  }

  /** Guards against a scheduler that settings cannot select by name. */
  @Test
  public void shouldBeRegisteredAsFirstFit() {
    assertTrue(
        ServiceLoader.load(SchedulerFactory.class).stream()
            .anyMatch(provider -> provider.get().name().equals("first-fit")));
  }

  private static WorkerState worker(String id) {
    String dataCentre = id.substring(0, 1);
    return new WorkerState(id, "rack-" + dataCentre, "dc-" + dataCentre, WORKER_CAPACITY, true);
  }

  private static JobRequest job(String id, int tasks, Adjacency adjacency) {
    GangShape shape = new GangShape(tasks, TASK_RESOURCES, adjacency);
    return new JobRequest(id, "team", "kind", shape, false, 1_000, true, 0);
  }
}
