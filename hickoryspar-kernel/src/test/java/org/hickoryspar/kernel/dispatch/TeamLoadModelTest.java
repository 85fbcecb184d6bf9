package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.IntStream;
import org.hickoryspar.protocol.WorkflowStep;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Plays random teams, weights and bursts on a fleet that does not hold them. The invariant: of each
 * team with work that has waited for longer than the limit, some starts again and again, the oldest
 * first; so the wait of each workflow is bounded by the number of older ones of its team.
 */
public class TeamLoadModelTest {

  private static final int SEEDS = 8;
  private static final int LOAD_MILLIS = 90_000;
  private static final int MAX_WAIT_MILLIS = 60_000;
  private static final int MAX_RUN_MILLIS = 2_000;

  /** The longest run before, to make room, the longest run of the last one, and a margin. */
  private static final int MAX_PAUSE_MILLIS = 2 * MAX_RUN_MILLIS + 2_000;

  private static final int MIN_LOAD_PERCENT = 120;
  private static final int MAX_LOAD_PERCENT = 160;

  @DataProvider
  Object[][] seeds() {
    Integer replayed = Integer.getInteger("hickoryspar.seed");
    int count = Integer.getInteger("hickoryspar.seeds", SEEDS);
    IntStream seeds = replayed == null ? IntStream.range(0, count) : IntStream.of(replayed);
    return seeds.mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
  }

  /** Guards against work that starves because smaller, fresher or other teams' work comes first. */
  @Test(dataProvider = "seeds")
  void shouldStartAllWorkInTheEndWhenTheLoadNeverFits(int seed) {
    Random random = new Random(seed);
    TeamLoadModel model = new TeamLoadModel(random, 2, 2);
    List<String> teams = new ArrayList<>();
    for (int i = 0; i < 2 + random.nextInt(4); i++) {
      teams.add("team" + i);
      model.addTeam("team" + i, 0.2 + random.nextInt(20) / 5.0);
    }
    int loadPercent = MIN_LOAD_PERCENT + random.nextInt(MAX_LOAD_PERCENT - MIN_LOAD_PERCENT);
    long missingAcceleratorMillis = 0;
    Map<String, Long> lastProgressMillis = new HashMap<>();
    long endMillis = model.nowMillis() + LOAD_MILLIS;
    while (model.nowMillis() < endMillis) {
      missingAcceleratorMillis +=
          (long) ModelFleet.STEP_MILLIS * model.fleet().accelerators() * loadPercent / 100;
      while (missingAcceleratorMillis > 0) {
        missingAcceleratorMillis -= submit(model, teams.get(random.nextInt(teams.size())), random);
      }
      model.advance().stream()
          .filter(started -> isAged(model, started))
          .forEach(started -> lastProgressMillis.put(started.team, model.nowMillis()));
      teams.forEach(team -> checkProgress(model, team, lastProgressMillis, seed));
    }
    assertTrue(
        model.fleet().harness().countEvents("AHEAD_OF_TURN") > 0, "no work has waited for long");
  }

  private static long submit(TeamLoadModel model, String team, Random random) {
    boolean isGang = random.nextInt(10) == 0;
    int tasks = 1 + random.nextInt(isGang ? 2 : 8);
    int accelerators = isGang ? 8 : 1 + random.nextInt(2);
    long runMillis = 200 + random.nextInt(MAX_RUN_MILLIS - 200);
    WorkflowStep.Builder step =
        isGang
            ? DispatcherHarness.gang(tasks, accelerators)
            : DispatcherHarness.step(tasks, accelerators);
    model.submit(team, step, runMillis);
    return tasks * accelerators * runMillis;
  }

  private static boolean isAged(TeamLoadModel model, TeamLoadModel.Submission submission) {
    return model.nowMillis() - submission.submittedMillis >= MAX_WAIT_MILLIS;
  }

  private static void checkProgress(
      TeamLoadModel model, String team, Map<String, Long> lastProgressMillis, int seed) {
    TeamLoadModel.Submission oldest = model.oldest(team).orElse(null);
    if (oldest != null && isAged(model, oldest)) {
      long sinceMillis =
          Math.max(
              oldest.submittedMillis + MAX_WAIT_MILLIS,
              lastProgressMillis.getOrDefault(team, Long.MIN_VALUE));
      assertTrue(
          model.nowMillis() - sinceMillis <= MAX_PAUSE_MILLIS,
          "seed "
              + seed
              + ": "
              + oldest.workflow.id()
              + " waits\n"
              + model.fleet().describe(oldest.workflow.id()));
    }
  }
}
