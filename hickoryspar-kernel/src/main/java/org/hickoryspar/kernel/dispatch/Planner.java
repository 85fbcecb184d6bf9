package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import org.hickoryspar.kernel.catalog.CatalogState;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.jspecify.annotations.Nullable;

/** Decides which waiting groups start where, most urgent first. */
final class Planner {

  private static final Comparator<WaitingStep> MOST_URGENT_FIRST =
      Comparator.comparingInt((WaitingStep step) -> step.queue().getPriority())
          .thenComparingLong(WaitingStep::sinceMillis)
          .thenComparing(step -> step.workflow().id());

  private final CatalogState catalog;
  private final MinionTable minions;
  private final RunTable runs;

  Planner(CatalogState catalog, MinionTable minions, RunTable runs) {
    this.catalog = catalog;
    this.minions = minions;
    this.runs = runs;
  }

  /**
   * Places waiting groups.
   *
   * @param waiting the steps that wait
   * @param starter takes each placement at once, so that the next one sees its room as taken
   */
  void plan(List<WaitingStep> waiting, Consumer<Placement> starter) {
    List<WaitingStep> ordered = new ArrayList<>(waiting);
    ordered.sort(MOST_URGENT_FIRST);
    List<Minion> usable =
        minions.all().stream()
            .filter(Minion::acceptsWork)
            .filter(minion -> !catalog.dataCentresOut().contains(minion.dataCentre()))
            .toList();
    for (WaitingStep step : ordered) {
      place(step, usable, starter);
    }
  }

  private void place(WaitingStep waiting, List<Minion> usable, Consumer<Placement> starter) {
    List<Minion> suitable =
        usable.stream()
            .filter(minion -> minion.service().equals(waiting.queue().getService()))
            .filter(minion -> minion.hasLabel(waiting.step().getRequiredLabel()))
            .toList();
    StepLoad load = new StepLoad(waiting, runs);
    for (TaskGroup group : waiting.groups()) {
      List<Minion> chosen = choose(waiting, group, suitable, load);
      if (chosen == null) {
        return;
      }
      chosen.forEach(load::add);
      starter.accept(new Placement(waiting, group, chosen));
    }
  }

  private static @Nullable List<Minion> choose(
      WaitingStep waiting, TaskGroup group, List<Minion> suitable, StepLoad load) {
    if (group.size() > 1) {
      return Places.gang(waiting, group.size(), suitable, Minion::free, load);
    }
    Minion minion = Places.tightest(waiting, suitable, Minion::free, load);
    return minion == null ? null : List.of(minion);
  }
}
