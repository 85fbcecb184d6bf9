package org.hickoryspar.kernel.dispatch;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.protocol.RunStart;
import org.jspecify.annotations.Nullable;

/** The runs that hold room on minions. */
final class RunTable {

  private final Map<TaskRun, ActiveRun> runs = new LinkedHashMap<>();
  private final Map<TaskRun, Member> members = new HashMap<>();
  private final Map<TaskGroup, Integer> groups = new HashMap<>();
  private final Map<Workflow, Set<ActiveRun>> byWorkflow = new HashMap<>();

  Collection<ActiveRun> runs() {
    return Collections.unmodifiableCollection(runs.values());
  }

  void add(ActiveRun run) {
    runs.put(run.taskRun(0), run);
    groups.merge(run.group(), 1, Integer::sum);
    byWorkflow.computeIfAbsent(run.workflow(), w -> new LinkedHashSet<>()).add(run);
    for (Member member : run.members()) {
      members.put(member.taskRun(), member);
      member.minion().add(member);
    }
  }

  void remove(ActiveRun run) {
    for (Member member : run.members()) {
      release(member);
    }
    runs.remove(run.taskRun(0));
    groups.computeIfPresent(run.group(), (group, count) -> count == 1 ? null : count - 1);
    byWorkflow.computeIfPresent(
        run.workflow(),
        (workflow, active) -> {
          active.remove(run);
          return active.isEmpty() ? null : active;
        });
  }

  /** Returns the runs of a workflow. */
  List<ActiveRun> of(Workflow workflow) {
    return List.copyOf(byWorkflow.getOrDefault(workflow, Set.of()));
  }

  /** Frees the room of a member. */
  void release(Member member) {
    members.remove(member.taskRun());
    member.minion().remove(member);
  }

  /** Returns whether a run of the group holds room, its start being recorded or not. */
  boolean holds(TaskGroup group) {
    return groups.containsKey(group);
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
