package org.hickoryspar.kernel.dispatch;

import java.util.HashMap;
import java.util.Map;

/** Counts the tasks of one step on each minion, where a step limits them. */
final class MinionTaskLimit {

  /** The load of a step without a limit. */
  static final MinionTaskLimit UNLIMITED = new MinionTaskLimit();

  private final int limit;
  private final Map<Minion, Integer> counts = new HashMap<>();

  private MinionTaskLimit() {
    limit = Integer.MAX_VALUE;
  }

  MinionTaskLimit(WaitingStep waiting, RunTable runs) {
    int max = waiting.step().getMaxTasksPerMinion();
    limit = max == 0 ? Integer.MAX_VALUE : max;
    if (max == 0) {
      return;
    }
    for (ActiveRun run : runs.of(waiting.workflow())) {
      if (run.occurrence() == waiting.occurrence() && run.stepIndex() == waiting.stepIndex()) {
        run.members().stream().filter(member -> !member.isEnded()).forEach(m -> add(m.minion()));
      }
    }
  }

  void add(Minion minion) {
    if (limit != Integer.MAX_VALUE) {
      counts.merge(minion, 1, Integer::sum);
    }
  }

  int left(Minion minion) {
    return limit == Integer.MAX_VALUE
        ? Integer.MAX_VALUE
        : Math.max(0, limit - counts.getOrDefault(minion, 0));
  }

  boolean allows(Minion minion, int tasks) {
    return left(minion) >= tasks;
  }
}
