package org.hickoryspar.kernel.dispatch;

import java.util.HashMap;
import java.util.Map;

/** Enforces the limit of a step on its number of tasks per minion. */
final class MinionTaskLimit {

  private final int maxTasksPerMinion;
  private final Map<Minion, Integer> tasksByMinion = new HashMap<>();

  MinionTaskLimit(WaitingStep waitingStep, RunTable runs) {
    int maxTasks = waitingStep.step().getMaxTasksPerMinion();
    maxTasksPerMinion = maxTasks == 0 ? Integer.MAX_VALUE : maxTasks;
    if (maxTasks == 0) {
      return;
    }
    for (ActiveRun run : runs.runsOf(waitingStep.workflow())) {
      if (run.occurrence() == waitingStep.occurrence()
          && run.stepIndex() == waitingStep.stepIndex()) {
        run.members().stream().filter(member -> !member.isEnded()).forEach(m -> add(m.minion()));
      }
    }
  }

  void add(Minion minion) {
    if (maxTasksPerMinion != Integer.MAX_VALUE) {
      tasksByMinion.merge(minion, 1, Integer::sum);
    }
  }

  int remaining(Minion minion) {
    return maxTasksPerMinion == Integer.MAX_VALUE
        ? Integer.MAX_VALUE
        : Math.max(0, maxTasksPerMinion - tasksByMinion.getOrDefault(minion, 0));
  }

  boolean allows(Minion minion, int tasks) {
    return remaining(minion) >= tasks;
  }
}
