package org.hickoryspar.kernel.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;
import org.hickoryspar.kernel.dispatch.order.TaskRun;
import org.hickoryspar.kernel.quota.TeamUsage;
import org.hickoryspar.kernel.value.Resources;
import org.hickoryspar.kernel.workflow.WorkflowTable;

/**
 * Tasks that may run on a minion although the {@link RunTable} holds no run of them there: stray
 * tasks that are being stopped, and delayed starts that may take effect in a new life of a minion.
 * They count as in use by their team until they have certainly ended.
 */
final class UnrecordedTasks {

  private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  private final WorkflowTable table;
  private final TeamUsage usage;
  private final long strayExpiryMillis;
  private final Map<Minion, Map<TaskRun, TaskUse>> usesByMinion = new HashMap<>();

  /**
   * Creates a state without such tasks.
   *
   * @param strayExpiryMillis time after which a stray task has ended on a minion that no longer
   *     responds
   */
  UnrecordedTasks(WorkflowTable table, TeamUsage usage, long strayExpiryMillis) {
    this.table = table;
    this.usage = usage;
    this.strayExpiryMillis = strayExpiryMillis;
  }

  /** Replaces the stray tasks of a minion by those that its latest response lists. */
  void updateStrays(Minion minion, Collection<TaskRun> strays, long nowMillis) {
    if (strays.isEmpty() && !usesByMinion.containsKey(minion)) {
      return;
    }
    Set<TaskRun> listed = new HashSet<>(strays);
    removeIf(minion, (run, use) -> !listed.contains(run) && nowMillis > use.delayedUntilMillis);
    for (TaskRun run : listed) {
      count(minion, run, NEVER_MILLIS, nowMillis + strayExpiryMillis);
    }
  }

  /**
   * Adds a start that may take effect on a minion until a time, even if it is not listed before.
   */
  void addDelayedStart(Minion minion, TaskRun run, long untilMillis) {
    count(minion, run, untilMillis, NEVER_MILLIS);
  }

  private void count(Minion minion, TaskRun run, long delayedUntilMillis, long listedUntilMillis) {
    Map<TaskRun, TaskUse> uses = usesByMinion.computeIfAbsent(minion, newMinion -> new HashMap<>());
    TaskUse existing = uses.get(run);
    if (existing != null) {
      uses.put(run, existing.extendedTo(delayedUntilMillis, listedUntilMillis));
      return;
    }
    TaskUse.of(table, run, delayedUntilMillis, listedUntilMillis)
        .ifPresent(
            use -> {
              uses.put(run, use);
              usage.add(use.team, use.demand);
            });
  }

  /** Removes the tasks of a life of a minion that has ended. */
  void removeAll(Minion minion) {
    removeIf(minion, (run, use) -> true);
  }

  /** Removes tasks that have certainly ended without a response of their minion. */
  void sweep(long nowMillis) {
    for (Minion minion : Set.copyOf(usesByMinion.keySet())) {
      removeIf(minion, (run, use) -> use.hasEnded(nowMillis));
    }
  }

  private void removeIf(Minion minion, BiPredicate<TaskRun, TaskUse> condition) {
    Map<TaskRun, TaskUse> uses = usesByMinion.getOrDefault(minion, Map.of());
    Iterator<Map.Entry<TaskRun, TaskUse>> entries = uses.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<TaskRun, TaskUse> entry = entries.next();
      if (condition.test(entry.getKey(), entry.getValue())) {
        usage.remove(entry.getValue().team, entry.getValue().demand);
        entries.remove();
      }
    }
    if (uses.isEmpty()) {
      usesByMinion.remove(minion);
    }
  }

  /**
   * What a team has in use for a task.
   *
   * @param delayedUntilMillis monotonic time until which the task may start, even after a response
   *     that does not list it
   * @param listedUntilMillis monotonic time after which the task, as last listed, has ended without
   *     a further response
   */
  private record TaskUse(
      String team, Resources demand, long delayedUntilMillis, long listedUntilMillis) {

    // The workflow of a task is unknown once it was removed after its retention.
    static Optional<TaskUse> of(
        WorkflowTable table, TaskRun run, long delayedUntilMillis, long listedUntilMillis) {
      return table
          .find(run.workflowId())
          .filter(workflow -> run.step() < workflow.spec().getStepsCount())
          .map(
              workflow ->
                  new TaskUse(
                      workflow.submission().getTeam(),
                      Resources.of(workflow.spec().getSteps(run.step()).getDemand()),
                      delayedUntilMillis,
                      listedUntilMillis));
    }

    TaskUse extendedTo(long newDelayedUntilMillis, long newListedUntilMillis) {
      return new TaskUse(
          team,
          demand,
          Math.max(delayedUntilMillis, newDelayedUntilMillis),
          Math.max(listedUntilMillis, newListedUntilMillis));
    }

    boolean hasEnded(long nowMillis) {
      return nowMillis > Math.max(delayedUntilMillis, listedUntilMillis);
    }
  }
}
