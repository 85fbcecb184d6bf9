package org.hickoryspar.kernel.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.hickoryspar.kernel.workflow.Workflow;

/**
 * Attributes failures of tasks to the minion or to the workflow. A workflow that fails on several
 * minions is at fault itself, and says nothing about them.
 */
final class FaultLedger {

  /** A workflow whose tasks fail on this many minions is at fault itself. */
  private static final int BLAMED_MINIONS = 3;

  private final DispatchListener listener;
  private final Map<Workflow, Set<Minion>> minionsOfWorkflow = new HashMap<>();
  private final Map<TaskGroup, Set<String>> minionsOfGroup = new HashMap<>();

  FaultLedger(DispatchListener listener) {
    this.listener = listener;
  }

  void failed(Member member, long nowMillis) {
    Minion minion = member.minion();
    Workflow workflow = member.run().workflow();
    Set<Minion> failedOn = minionsOfWorkflow.computeIfAbsent(workflow, w -> new HashSet<>());
    failedOn.add(minion);
    Set<String> groupFailedOn =
        minionsOfGroup.computeIfAbsent(member.run().group(), group -> new HashSet<>());
    groupFailedOn.add(minion.id());
    boolean workflowAtFault = failedOn.size() >= BLAMED_MINIONS || groupFailedOn.size() > 1;
    if (workflowAtFault) {
      failedOn.forEach(other -> other.health().pardon(workflow.id()));
    } else if (minion.health().failed(workflow.id(), nowMillis)) {
      listener.happened(
          DispatchEventKind.MINION_ISOLATED,
          minion.id(),
          "forMillis",
          minion.health().isolatedForMillis(nowMillis),
          "lastFailure",
          member.taskRun().toString());
    }
  }

  void succeeded(Member member) {
    member.minion().health().succeeded();
  }

  /** Returns whether a group has failed on a minion. */
  boolean hasFailedOn(TaskGroup group, Minion minion) {
    Set<String> failedOn = minionsOfGroup.get(group);
    return failedOn != null && failedOn.contains(minion.id());
  }

  void forget(Workflow workflow) {
    minionsOfWorkflow.remove(workflow);
    workflow.openGroups().forEach(minionsOfGroup::remove);
  }
}
