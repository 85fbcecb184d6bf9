package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.hickoryspar.protocol.WorkflowStep;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what teams get of a service whose work does not fit. */
public class TeamShareTest {

  private static final int RUN_MILLIS = 1_000;

  /** Time for orders, ends and planning beyond the run that has to end first. */
  private static final int DELIVERY_MILLIS = 500;

  /** Accelerators of the fleet of these tests: 2 racks of 2 minions. */
  private static final int ACCELERATORS = 32;

  private static TeamLoadModel model() {
    return new TeamLoadModel(new Random(1), 2, 2);
  }

  private static WorkflowStep.Builder tasks(int tasks) {
    return DispatcherHarness.step(tasks, 1);
  }

  // ------------------------------------------------------------- bursts

  @DataProvider
  Object[][] smallTeams() {
    // Columns: weight of the small team, tasks that it submits each second.
    return new Object[][] {{1.0, 2}, {1.0, 12}, {0.25, 4}};
  }

  /** Guards against a small team that waits behind all work that another one has sent before. */
  @Test(dataProvider = "smallTeams")
  void shouldServeTheSmallestTeamDuringABurstOfAnother(double weight, int tasksPerSecond) {
    TeamLoadModel model = model();
    model.addTeam("small", weight);
    model.addTeam("large", 1);
    for (int i = 0; i < 40; i++) {
      model.submit("large", tasks(16), RUN_MILLIS);
    }
    long beginMillis = model.nowMillis();
    while (model.nowMillis() < beginMillis + 10_000) {
      if ((model.nowMillis() - beginMillis) % 1_000 == 0) {
        model.submit("small", tasks(tasksPerSecond), RUN_MILLIS);
      }
      model.advance();
    }
    advance(model, 3_000);

    assertTrue(
        model.longestWaitMillis("small") <= RUN_MILLIS + DELIVERY_MILLIS,
        "longest wait of the small team: " + model.longestWaitMillis("small") + " ms");
    assertTrue(model.oldest("large").isPresent(), "the burst fits, which tests nothing");
  }

  @DataProvider
  Object[][] weights() {
    return new Object[][] {{1.0, 1.0}, {1.0, 3.0}, {0.5, 0.25}};
  }

  /** Guards against shares that do not follow the weights while all teams want more. */
  @Test(dataProvider = "weights")
  void shouldShareByWeightWhenAllTeamsWantMore(double weight, double otherWeight) {
    TeamLoadModel model = model();
    model.addTeam("a", weight);
    model.addTeam("b", otherWeight);
    Random random = new Random(7);
    Map<String, Long> taskSteps = new HashMap<>();
    for (int i = 0; i < 200; i++) {
      model.submit(i % 2 == 0 ? "a" : "b", tasks(4), 500 + random.nextInt(1_000));
    }
    advance(model, 2_000);
    long beginMillis = model.nowMillis();
    while (model.nowMillis() < beginMillis + 5_000) {
      model.advance();
      taskSteps.merge("a", model.runningTasks("a"), Long::sum);
      taskSteps.merge("b", model.runningTasks("b"), Long::sum);
    }

    double all = taskSteps.get("a") + taskSteps.get("b");
    double share = taskSteps.get("a") / all;
    double expected = weight / (weight + otherWeight);
    // A task of a step of four is the unit of a share.
    assertEquals(share, expected, 4.0 / ACCELERATORS, "share of a: " + share);
  }

  // ------------------------------------------------------------- overload

  /** Guards against an order that changes while all work fits, or stays changed afterwards. */
  @Test
  void shouldOrderBySharesOnlyWhileTheWorkDoesNotFit() {
    TeamLoadModel model = model();
    model.addTeam("a", 1);
    for (int i = 0; i < 20; i++) {
      model.submit("a", tasks(ACCELERATORS - 4), RUN_MILLIS);
      advance(model, 1_300);
    }
    DispatcherHarness harness = model.fleet().harness();
    assertEquals(harness.countEvents("OVERLOAD_"), 0, "load of less than the room");

    for (int i = 0; i < 10; i++) {
      model.submit("a", tasks(ACCELERATORS), RUN_MILLIS);
    }
    advance(model, 16_000);

    assertEquals(harness.countEvents("OVERLOAD_ENTERED service"), 1);
    assertEquals(harness.countEvents("OVERLOAD_LEFT service"), 1);
  }

  private static void advance(TeamLoadModel model, long millis) {
    long endMillis = model.nowMillis() + millis;
    while (model.nowMillis() < endMillis) {
      model.advance();
    }
  }
}
