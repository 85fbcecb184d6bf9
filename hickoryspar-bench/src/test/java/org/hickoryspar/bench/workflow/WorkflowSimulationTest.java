package org.hickoryspar.bench.workflow;

import static org.testng.Assert.assertEquals;

import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Simulates workflows with injected faults and checks the invariants of each start. */
public class WorkflowSimulationTest {

  private static final int SEEDS = 3;

  @DataProvider
  Object[][] faults() {
    return IntStream.range(0, Fault.values().length)
        .mapToObj(i -> new Object[] {EnumSet.of(Fault.values()[i]), 6})
        .toArray(Object[][]::new);
  }

  /** Guards against tasks that run twice, too early, too often or without free resources. */
  @Test(dataProvider = "faults")
  void shouldKeepInvariantsWhenFaultsOfOneKindOccur(Set<Fault> kinds, int count) {
    for (long seed = 1; seed <= SEEDS; seed++) {
      assertEquals(run(seed, kinds, count).violations(), List.of(), "seed " + seed);
    }
  }

  /** Guards against combinations of faults that break an invariant none of them breaks alone. */
  @Test
  void shouldKeepInvariantsWhenFaultsOfAllKindsOccur() {
    for (long seed = 100; seed < 100 + 4 * SEEDS; seed++) {
      WorkflowResult result = run(seed, EnumSet.allOf(Fault.class), 12);
      assertEquals(result.violations(), List.of(), "seed " + seed);
    }
  }

  private static WorkflowResult run(long seed, Set<Fault> kinds, int count) {
    WorkflowSimulation simulation =
        new WorkflowSimulation(
            WorkflowDeployment.named("archive"),
            seed,
            1,
            1,
            25_000,
            25_000,
            (kind, subject, details) -> {});
    simulation.scheduleFaults(kinds, count);
    return simulation.run();
  }
}
