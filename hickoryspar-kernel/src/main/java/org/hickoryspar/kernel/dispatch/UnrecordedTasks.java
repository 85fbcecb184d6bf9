package org.hickoryspar.kernel.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
  private final Map<Minion, Map<TaskRun, Claim>> claimsByMinion = new HashMap<>();

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
    if (strays.isEmpty() && !claimsByMinion.containsKey(minion)) {
      return;
    }
    Set<TaskRun> listed = new HashSet<>(strays);
    removeIf(minion, (run, claim) -> !listed.contains(run) && nowMillis > claim.delayedUntilMillis);
    for (TaskRun run : listed) {
      hold(minion, run, NEVER_MILLIS, nowMillis + strayExpiryMillis);
    }
  }

  /**
   * Adds a start that may take effect on a minion until a time, even if it is not listed before.
   */
  void addDelayedStart(Minion minion, TaskRun run, long untilMillis) {
    hold(minion, run, untilMillis, NEVER_MILLIS);
  }

  private void hold(Minion minion, TaskRun run, long delayedUntilMillis, long listedUntilMillis) {
    Map<TaskRun, Claim> claims =
        claimsByMinion.computeIfAbsent(minion, newMinion -> new HashMap<>());
    Claim existing = claims.get(run);
    if (existing != null) {
      claims.put(run, existing.extendedTo(delayedUntilMillis, listedUntilMillis));
      return;
    }
    Claim.of(table, run, delayedUntilMillis, listedUntilMillis)
        .ifPresent(
            claim -> {
              claims.put(run, claim);
              usage.add(claim.team, claim.demand);
            });
  }

  /** Removes the tasks of a life of a minion that has ended. */
  void removeAll(Minion minion) {
    removeIf(minion, (run, claim) -> true);
  }

  /** Removes tasks that have certainly ended without a response of their minion. */
  void sweep(long nowMillis) {
    for (Minion minion : Set.copyOf(claimsByMinion.keySet())) {
      removeIf(minion, (run, claim) -> claim.hasEnded(nowMillis));
    }
  }

  private void removeIf(Minion minion, Condition condition) {
    Map<TaskRun, Claim> claims = claimsByMinion.getOrDefault(minion, Map.of());
    Iterator<Map.Entry<TaskRun, Claim>> entries = claims.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<TaskRun, Claim> entry = entries.next();
      if (condition.test(entry.getKey(), entry.getValue())) {
        usage.remove(entry.getValue().team, entry.getValue().demand);
        entries.remove();
      }
    }
    if (claims.isEmpty()) {
      claimsByMinion.remove(minion);
    }
  }

  private interface Condition {
    boolean test(TaskRun run, Claim claim);
  }

  /**
   * What a team holds for a task.
   *
   * @param delayedUntilMillis monotonic time until which the task may start, even after a response
   *     that does not list it
   * @param listedUntilMillis monotonic time after which the task, as last listed, has ended without
   *     a further response
   */
  private record Claim(
      String team, Resources demand, long delayedUntilMillis, long listedUntilMillis) {

    // The workflow of a task is unknown once it was removed after its retention.
    static Optional<Claim> of(
        WorkflowTable table, TaskRun run, long delayedUntilMillis, long listedUntilMillis) {
      return table
          .find(run.workflowId())
          .filter(workflow -> run.step() < workflow.spec().getStepsCount())
          .map(
              workflow ->
                  new Claim(
                      workflow.submission().getTeam(),
                      Resources.of(workflow.spec().getSteps(run.step()).getDemand()),
                      delayedUntilMillis,
                      listedUntilMillis));
    }

    Claim extendedTo(long newDelayedUntilMillis, long newListedUntilMillis) {
      return new Claim(
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
