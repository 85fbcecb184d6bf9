package org.hickoryspar.kernel.scheduling;

import static java.util.stream.Collectors.joining;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.ServiceLoader;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class GuaranteeSchedulerTest {

  private static final ResourceShape WORKER = new ResourceShape(32, 128_000, 8);
  private static final ResourceShape GPU = new ResourceShape(2, 4_000, 1);

  @Test
  public void shouldBeFoundUnderItsName() {
    assertTrue(
        ServiceLoader.load(SchedulerFactory.class).stream()
            .anyMatch(provider -> provider.get().name().equals("guarantee")));
  }

  // -- decide

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

  /**
   * Guards against partial gangs, overcommit, ignored adjacency and starts in a place taken out.
   */
  @Test(dataProvider = "gangs")
  public void shouldPlaceTheWholeGangOrNothing(
      int tasks, Adjacency adjacency, Set<String> out, String expected) {
    Scheduler scheduler = new GuaranteeSchedulerFactory().create();
    for (String name : List.of("a1", "a2", "b1", "b2")) {
      String dataCentre = name.substring(0, 1);
      scheduler.workerChanged(new WorkerState(name, "r1", dataCentre, WORKER, true));
    }
    TeamPolicy team = new TeamPolicy("t", WORKER.times(10), 1, List.of());
    scheduler.configure(new SchedulingConfig(1, "fragmentation", List.of(team), out, Set.of()));
    GangShape shape = new GangShape(tasks, GPU, adjacency);
    scheduler.jobQueued(new JobRequest("j", "t", "k", shape, false, 1_000, true, 0));
    String found =
        scheduler.decide(0).stream().map(d -> d.getClass().getSimpleName()).collect(joining());
    assertEquals(found, expected);
  }
}
