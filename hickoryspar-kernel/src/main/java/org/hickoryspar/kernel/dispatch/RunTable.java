package org.hickoryspar.kernel.dispatch;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickoryspar.kernel.dispatch.order.TaskRun;
import org.hickoryspar.kernel.quota.TeamQuotas;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.protocol.RunStart;
import org.jspecify.annotations.Nullable;

/**
 * The runs to which resources of minions are allocated, and which count as in use by their team.
 */
final class RunTable {

  private final TeamQuotas teamQuotas;
  private final Map<TaskRun, ActiveRun> runs = new LinkedHashMap<>();
  private final Map<TaskRun, Member> members = new HashMap<>();
  private final Map<TaskGroup, Integer> runCountByGroup = new HashMap<>();
  private final Map<Workflow, Set<ActiveRun>> runsByWorkflow = new HashMap<>();

  RunTable(TeamQuotas teamQuotas) {
    this.teamQuotas = teamQuotas;
  }

  /** Returns the quotas that the runs count for. */
  TeamQuotas teamQuotas() {
    return teamQuotas;
  }

  Collection<ActiveRun> runs() {
    return Collections.unmodifiableCollection(runs.values());
  }

  void add(ActiveRun run) {
    runs.put(run.taskRun(0), run);
    runCountByGroup.merge(run.group(), 1, Integer::sum);
    runsByWorkflow.computeIfAbsent(run.workflow(), w -> new LinkedHashSet<>()).add(run);
    for (Member member : run.members()) {
      members.put(member.taskRun(), member);
      member.minion().add(member);
      teamQuotas.usage().add(run.team(), run.declaredDemand());
    }
  }

  void remove(ActiveRun run) {
    for (Member member : run.members()) {
      release(member);
    }
    runs.remove(run.taskRun(0));
    runCountByGroup.computeIfPresent(run.group(), (group, count) -> count == 1 ? null : count - 1);
    runsByWorkflow.computeIfPresent(
        run.workflow(),
        (workflow, workflowRuns) -> {
          workflowRuns.remove(run);
          return workflowRuns.isEmpty() ? null : workflowRuns;
        });
  }

  /** Returns a snapshot of the runs of a workflow. */
  List<ActiveRun> runsOf(Workflow workflow) {
    return List.copyOf(runsByWorkflow.getOrDefault(workflow, Set.of()));
  }

  /** Returns whether a workflow has a run, even if the log has not recorded its start yet. */
  boolean hasRun(Workflow workflow) {
    return runsByWorkflow.containsKey(workflow);
  }

  /** Releases the resources of a member, unless they are released already. */
  void release(Member member) {
    if (members.remove(member.taskRun(), member)) {
      member.minion().remove(member);
      teamQuotas.usage().remove(member.run().team(), member.run().declaredDemand());
    }
  }

  /** Returns whether the group has a run, even if the log has not recorded its start yet. */
  boolean hasRun(TaskGroup group) {
    return runCountByGroup.containsKey(group);
  }

  @Nullable Member find(TaskRun taskRun) {
    return members.get(taskRun);
  }

  @Nullable ActiveRun find(RunStart start) {
    return runs.get(
        new TaskRun(
            start.getWorkflowId(),
            start.getOccurrence(),
            start.getStep(),
            start.getFirstTask(),
            start.getRun()));
  }
}
