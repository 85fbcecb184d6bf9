package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;

import java.util.Optional;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Plays random schedules of workflows and failures on fake minions. The invariant: no workflow
 * waits beside idle capacity, and no large gang waits forever behind small tasks.
 */
public class IdleCapacityModelTest {

  private static final int SEEDS = 100;

  /** Seeds in which a gang waited too long because its reservation moved from rack to rack. */
  private static final int[] GANG_SEEDS = {248, 363, 472, 630, 638, 666, 701, 726, 842};

  @DataProvider
  Object[][] seeds() {
    return rows(selectedSeeds());
  }

  @DataProvider
  Object[][] gangSeeds() {
    return rows(IntStream.concat(selectedSeeds(), IntStream.of(GANG_SEEDS)).distinct());
  }

  private static IntStream selectedSeeds() {
    Integer replayed = Integer.getInteger("hickoryspar.seed");
    int count = Integer.getInteger("hickoryspar.seeds", SEEDS);
    return replayed == null ? IntStream.range(0, count) : IntStream.of(replayed);
  }

  private static Object[][] rows(IntStream seeds) {
    return seeds.mapToObj(seed -> new Object[] {seed}).toArray(Object[][]::new);
  }

  /** Guards against a workflow that nobody starts although the capacity for it is idle. */
  @Test(dataProvider = "seeds")
  void shouldStartWorkflowWhenCapacityIsIdle(int seed) {
    Optional<String> violation = new IdleCapacityModel(seed).findViolation();
    assertEquals(violation, Optional.empty(), "seed " + seed + ": " + violation.orElse(""));
  }

  /** Guards against a large gang that waits for ever behind small tasks of lower rank. */
  @Test(dataProvider = "gangSeeds")
  void shouldStartLargeGangWhenLoadLeavesRoom(int seed) {
    Optional<String> violation = new LargeGangModel(seed).findViolation();
    assertEquals(violation, Optional.empty(), "seed " + seed + ": " + violation.orElse(""));
  }
}
