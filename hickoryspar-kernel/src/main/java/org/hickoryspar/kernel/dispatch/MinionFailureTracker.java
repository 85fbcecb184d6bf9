package org.hickoryspar.kernel.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hickoryspar.kernel.minion.MinionHealth;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.hickoryspar.kernel.workflow.Workflow;

/**
 * Attributes task failures to the minion or to the workflow. A task that fails on more than one
 * minion is faulty itself, and so is a workflow whose tasks fail on several minions on which no
 * other workflow fails. Failures of a faulty task or workflow do not count against the minions.
 */
final class MinionFailureTracker {

  /** A workflow is faulty if it is the only one that fails on this many minions. */
  private static final int FAULTY_WORKFLOW_THRESHOLD = 3;

  /**
   * A failure this soon after the start indicates a faulty minion; faulty tasks mostly fail later.
   */
  private static final long IMMEDIATE_FAILURE_MILLIS = 250;

  private final DispatchListener listener;
  private final Set<Workflow> faultyWorkflows = new HashSet<>();
  private final Map<Workflow, Set<Minion>> failedMinionsByWorkflow = new HashMap<>();
  private final Map<TaskGroup, Map<Integer, Set<Minion>>> failedMinionsByTask = new HashMap<>();

  MinionFailureTracker(DispatchListener listener) {
    this.listener = listener;
  }

  void recordFailure(Member member, long nowMillis) {
    Workflow workflow = member.run().workflow();
    Set<Minion> workflowFailedOn =
        failedMinionsByWorkflow.computeIfAbsent(workflow, w -> new HashSet<>());
    Set<Minion> taskFailedOn =
        failedMinionsByTask
            .computeIfAbsent(member.run().group(), group -> new HashMap<>())
            .computeIfAbsent(member.index(), index -> new HashSet<>());
    workflowFailedOn.add(member.minion());
    taskFailedOn.add(member.minion());
    if (idsOf(taskFailedOn.stream()).size() > 1) {
      clearFailures(taskFailedOn, workflow);
    } else if (faultyWorkflows.contains(workflow)) {
      clearFailures(workflowFailedOn, workflow);
    } else {
      countAgainstMinion(member, nowMillis);
      if (countSoleFailures(workflowFailedOn, workflow) >= FAULTY_WORKFLOW_THRESHOLD) {
        faultyWorkflows.add(workflow);
        clearFailures(workflowFailedOn, workflow);
      }
    }
  }

  private void countAgainstMinion(Member member, long nowMillis) {
    Minion minion = member.minion();
    String workflowId = member.run().workflow().id();
    if (minion.health().recordFailure(workflowId, isImmediate(member, nowMillis), nowMillis)) {
      listener.onEvent(
          DispatchEventKind.MINION_ISOLATED,
          minion.id(),
          "forMillis",
          minion.health().remainingIsolationMillis(nowMillis),
          "lastFailure",
          member.taskRun().toString());
    }
  }

  private static long countSoleFailures(Collection<Minion> minions, Workflow workflow) {
    return minions.stream()
        .filter(minion -> minion.health().hasOnlyFailuresOf(workflow.id()))
        .count();
  }

  // A minion on which other workflows also failed keeps its failures.
  private static void clearFailures(Collection<Minion> minions, Workflow workflow) {
    minions.stream()
        .map(Minion::health)
        .filter(health -> health.hasOnlyFailuresOf(workflow.id()))
        .forEach(MinionHealth::clearFailures);
  }

  // A run that an earlier leader started may have run for longer than this leader has recorded.
  private static boolean isImmediate(Member member, long nowMillis) {
    return !member.isInherited()
        && member.progress().percent() == 0
        && member.run().runningMillis(nowMillis) < IMMEDIATE_FAILURE_MILLIS;
  }

  void recordSuccess(Member member, long nowMillis) {
    member.minion().health().recordSuccess(nowMillis);
  }

  /** Returns the identifiers of the minions on which tasks of a group have failed. */
  Set<String> failedMinionIds(TaskGroup group) {
    return idsOf(
        failedMinionsByTask.getOrDefault(group, Map.of()).values().stream().flatMap(Set::stream));
  }

  // A restarted minion has a new life on the same machine, so the identifiers are compared.
  private static Set<String> idsOf(Stream<Minion> minions) {
    return minions.map(Minion::id).collect(Collectors.toSet());
  }

  void remove(Workflow workflow) {
    faultyWorkflows.remove(workflow);
    failedMinionsByWorkflow.remove(workflow);
    workflow.openGroups().forEach(failedMinionsByTask::remove);
  }
}
