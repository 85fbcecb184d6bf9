package org.hickoryspar.kernel.scheduling;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Bounds of the waits of small jobs beside a reservation, and of the job that holds it. */
public class ReservationWaitTest {

  private static final long MINUTE_MILLIS = 60_000;
  private static final long HOUR_MILLIS = 60 * MINUTE_MILLIS;

  /** Number of different run times of small jobs, one minute apart. */
  private static final int RUN_TIMES = 61;

  private static final ResourceVector WORKER_CAPACITY = new ResourceVector(32, 128_000, 8);
  private static final ResourceVector ONE_ACCELERATOR = new ResourceVector(2, 4_000, 1);
  private static final GangShape SINGLE_TASK = new GangShape(1, ONE_ACCELERATOR, Adjacency.NONE);
  private static final GangShape WHOLE_FLEET = new GangShape(32, ONE_ACCELERATOR, Adjacency.NONE);

  private ClusterModel model;

  /**
   * Creates 32 accelerators, and a gang on one of them that keeps a job for all of them waiting.
   */
  @BeforeMethod
  public void reserveFleet() {
    model = new ClusterModel(new GuaranteeSchedulerFactory().create());
    for (String name : List.of("a-r1-1", "a-r1-2", "b-r1-1", "b-r1-2")) {
      model.putWorker(new WorkerState(name, "r1", name.substring(0, 1), WORKER_CAPACITY, true));
    }
    TeamPolicy t = new TeamPolicy("t", WORKER_CAPACITY.times(4), 1, List.of());
    TeamPolicy u = new TeamPolicy("u", WORKER_CAPACITY.times(4), 1, List.of());
    model.configure(new SchedulingConfig(1, "fragmentation", List.of(t, u), Set.of(), Set.of()));
    submit("blocking", "u", SINGLE_TASK, true);
    model.decide();
    submit("large", "t", WHOLE_FLEET, true);
    model.decide();
  }

  @DataProvider
  Object[][] smallJobs() {
    return new Object[][] {
      {true, false, ReservationWait.PREEMPTIBLE_BLOCKING_MILLIS},
      {true, true, ReservationWait.PREEMPTIBLE_BLOCKING_MILLIS},
      {false, false, ReservationWait.MAX_WINDOW_INTERVAL_MILLIS},
      {false, true, ReservationWait.MAX_WINDOW_INTERVAL_MILLIS},
    };
  }

  /**
   * Guards against a fleet that is kept idle for a large job while one small gang runs on, also if
   * a worker restarts from time to time.
   */
  @Test(dataProvider = "smallJobs")
  public void shouldStartSmallJobWithinBoundWhenReservedJobCannotStart(
      boolean preemptible, boolean workersRestart, long boundMillis) {
    submit("small", "u", SINGLE_TASK, preemptible);
    for (int minute = 0; minute * MINUTE_MILLIS <= boundMillis; minute++) {
      if (workersRestart && minute % 7 == 0) {
        restartIdleWorker();
      }
      model.decide();
      model.nowMillis += MINUTE_MILLIS;
    }
    assertTrue(model.running.containsKey("small"));
  }

  /** Guards against a second job that waits for ever because the first window has closed. */
  @Test
  public void shouldStartNonPreemptibleJobInLaterWindow() {
    model.nowMillis += 30 * HOUR_MILLIS;
    model.decide();
    submit("small", "u", SINGLE_TASK, false);
    for (long waitedMillis = 0;
        waitedMillis <= ReservationWait.MAX_WINDOW_INTERVAL_MILLIS;
        waitedMillis += MINUTE_MILLIS) {
      model.decide();
      model.nowMillis += MINUTE_MILLIS;
    }
    assertTrue(model.running.containsKey("small"));
  }

  @DataProvider
  Object[][] steadyWork() {
    return new Object[][] {
      // Preemptible work is preempted as soon as the large job fits.
      {true, 20 * HOUR_MILLIS, 3 * HOUR_MILLIS, 3 * HOUR_MILLIS + 2 * MINUTE_MILLIS},
      // Non-preemptible work ends between two windows once these are 4 h apart.
      {false, 3 * HOUR_MILLIS, 2 * HOUR_MILLIS, 9 * HOUR_MILLIS},
    };
  }

  /** Guards against a large job that starves behind steady small work without history. */
  @Test(dataProvider = "steadyWork")
  public void shouldStartLargeJobWithinBoundBesideSteadySmallWork(
      boolean preemptible, long maxRunMillis, long blockingMillis, long boundMillis) {
    for (int minute = 0; minute * MINUTE_MILLIS <= boundMillis; minute++) {
      submit(Integer.toString(minute), "u", SINGLE_TASK, preemptible);
      endStoppedGangs();
      endGangs(maxRunMillis, blockingMillis);
      model.decide();
      model.nowMillis += MINUTE_MILLIS;
    }
    assertTrue(model.running.containsKey("large"), model.running.keySet().toString());
  }

  private void restartIdleWorker() {
    Set<String> blocked = Set.copyOf(model.running.get("blocking").workers());
    WorkerState worker =
        model.workers.values().stream()
            .filter(w -> !blocked.contains(w.workerId()))
            .findFirst()
            .orElseThrow();
    model.putWorker(
        new WorkerState(
            worker.workerId(), worker.rack(), worker.dataCentre(), worker.capacity(), false));
    model.putWorker(worker);
  }

  private void endStoppedGangs() {
    for (String id : List.copyOf(model.stopping.keySet())) {
      model.end(id, EndReason.PREEMPTED, List.of());
    }
  }

  /** Ends gangs after their run times; those of small jobs differ, so that they end one by one. */
  private void endGangs(long maxRunMillis, long blockingMillis) {
    List<String> ended = new ArrayList<>();
    for (Map.Entry<String, ClusterModel.PlacedGang> entry : model.running.entrySet()) {
      String id = entry.getKey();
      long runMillis =
          switch (id) {
            case "large" -> Long.MAX_VALUE;
            case "blocking" -> blockingMillis;
            default -> maxRunMillis - Integer.parseInt(id) % RUN_TIMES * MINUTE_MILLIS;
          };
      if (model.nowMillis - entry.getValue().startedMillis() >= runMillis) {
        ended.add(id);
      }
    }
    ended.forEach(id -> model.end(id, EndReason.COMPLETED, List.of()));
  }

  /** Submits a job of a kind of its own, so that there is no history of it. */
  private void submit(String id, String team, GangShape shape, boolean preemptible) {
    model.submit(new JobRequest(id, team, id, shape, false, 1, preemptible, model.nowMillis));
  }
}
