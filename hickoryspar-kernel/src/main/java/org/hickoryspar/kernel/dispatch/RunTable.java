package org.hickoryspar.kernel.dispatch;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.RunStart;
import org.jspecify.annotations.Nullable;

/** The runs that hold room on minions. */
final class RunTable {

  private final Map<TaskRun, ActiveRun> runs = new LinkedHashMap<>();
  private final Map<TaskRun, Member> members = new HashMap<>();
  private final Set<TaskGroup> groups = new HashSet<>();

  Collection<ActiveRun> runs() {
    return Collections.unmodifiableCollection(runs.values());
  }

  void add(ActiveRun run) {
    runs.put(run.taskRun(0), run);
    groups.add(run.group());
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
    if (runs.values().stream().noneMatch(other -> other.group() == run.group())) {
      groups.remove(run.group());
    }
  }

  /** Frees the room of a member. */
  void release(Member member) {
    members.remove(member.taskRun());
    member.minion().remove(member);
  }

  /** Returns whether a run of the group holds room, its start being recorded or not. */
  boolean holds(TaskGroup group) {
    return groups.contains(group);
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

  /** Finds the run that a recorded end belongs to. */
  @Nullable ActiveRun find(RunEnd end, TaskGroup group) {
    return runs.get(
        new TaskRun(
            end.getWorkflowId(),
            end.getOccurrence(),
            end.getStep(),
            group.firstTask(),
            end.getRun()));
  }
}
