package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.hickoryspar.kernel.dispatch.order.TaskRun;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.WorkflowStep;

/**
 * Ends the tasks on fake minions as their workflows specify. The members of a gang work from the
 * time when all are present, and end together.
 */
final class ModelTasks {

  private static final int IMMEDIATE_FAILURE_MILLIS = 150;

  /** Mean run time on a minion on which all tasks fail. */
  private static final int FAULTY_MINION_RUN_MILLIS = 500;

  private final Random random;
  private final Map<String, ModelWorkflow> workflows;
  private final List<ModelMinion> minions;
  private final Map<TaskRun, WorkingRun> runs = new HashMap<>();
  private final Map<TaskRun, Integer> failuresByGroup = new HashMap<>();

  ModelTasks(Random random, Map<String, ModelWorkflow> workflows, List<ModelMinion> minions) {
    this.random = random;
    this.workflows = workflows;
    this.minions = minions;
  }

  /** Ends the tasks whose time has come. */
  void advance(long nowMillis) {
    minions.forEach(minion -> minion.fake().endExpiredLease(nowMillis));
    Map<TaskRun, List<Member>> present = presentMembers();
    runs.keySet().retainAll(present.keySet());
    present.forEach((key, members) -> advance(key, members, nowMillis));
  }

  private Map<TaskRun, List<Member>> presentMembers() {
    Map<TaskRun, List<Member>> present = new LinkedHashMap<>();
    for (ModelMinion minion : minions) {
      for (TaskRun taskRun : minion.fake().running()) {
        present
            .computeIfAbsent(runKey(taskRun), key -> new ArrayList<>(1))
            .add(new Member(minion, taskRun));
      }
    }
    return present;
  }

  /** Returns the first task of the run, which stands for all its members. */
  private TaskRun runKey(TaskRun run) {
    boolean gang = stepOf(run).getGang();
    return new TaskRun(
        run.workflowId(), run.occurrence(), run.step(), gang ? 0 : run.task(), run.run());
  }

  private WorkflowStep stepOf(TaskRun run) {
    return workflow(run).step(run);
  }

  private ModelWorkflow workflow(TaskRun run) {
    return workflows.get(run.workflowId());
  }

  private void advance(TaskRun key, List<Member> members, long nowMillis) {
    WorkingRun run = runs.computeIfAbsent(key, k -> new WorkingRun(nowMillis));
    int size = stepOf(key).getGang() ? stepOf(key).getTasks() : 1;
    if (members.size() < size) {
      endIncomplete(run, members, nowMillis);
      return;
    }
    if (!run.complete) {
      complete(run, key, members, nowMillis);
    }
    if (isOnFaultyMinion(members, nowMillis)) {
      failAtRandom(members);
    } else if (nowMillis >= run.endMillis) {
      end(run, key, members);
    }
  }

  private static void endIncomplete(WorkingRun run, List<Member> members, long nowMillis) {
    if (run.complete) {
      endAll(members, RunEnd.Cause.GROUP_BROKEN);
    } else if (nowMillis - run.seenMillis > DispatcherHarness.SETTINGS.gangTimeoutMillis()) {
      endAll(members, RunEnd.Cause.GROUP_INCOMPLETE);
    }
  }

  private void complete(WorkingRun run, TaskRun key, List<Member> members, long nowMillis) {
    ModelWorkflow.Behaviour behaviour = workflow(key).behaviour(key);
    run.complete = true;
    run.fails = failuresByGroup.getOrDefault(groupKey(key), 0) < behaviour.failures();
    run.endMillis = nowMillis + workMillis(run.fails, behaviour, slowdown(key, members));
  }

  private long workMillis(boolean fails, ModelWorkflow.Behaviour behaviour, double slowdown) {
    if (!fails) {
      return (long) (behaviour.runMillis() * slowdown);
    }
    return behaviour.failsImmediately()
        ? IMMEDIATE_FAILURE_MILLIS
        : random.nextInt((int) behaviour.runMillis());
  }

  private double slowdown(TaskRun key, List<Member> members) {
    WorkflowStep step = stepOf(key);
    Set<String> racks =
        members.stream().map(member -> member.minion.fake().rack()).collect(Collectors.toSet());
    boolean crossesRacks = step.getSameRack() && racks.size() > 1;
    boolean farFromData =
        !step.getDataRack().isEmpty() && !racks.equals(Set.of(step.getDataRack()));
    return crossesRacks || farFromData ? DispatcherHarness.SETTINGS.crossRackFactor() : 1;
  }

  private static boolean isOnFaultyMinion(List<Member> members, long nowMillis) {
    return members.stream().anyMatch(member -> member.minion.isFaulty(nowMillis));
  }

  private void failAtRandom(List<Member> members) {
    if (random.nextInt(FAULTY_MINION_RUN_MILLIS / ModelFleet.STEP_MILLIS) == 0) {
      endFailed(members);
    }
  }

  private void end(WorkingRun run, TaskRun key, List<Member> members) {
    if (run.fails) {
      failuresByGroup.merge(groupKey(key), 1, Integer::sum);
      endFailed(members);
    } else {
      endAll(members, RunEnd.Cause.DONE);
    }
  }

  private static TaskRun groupKey(TaskRun run) {
    return new TaskRun(run.workflowId(), run.occurrence(), run.step(), run.task(), 0);
  }

  private static void endFailed(List<Member> members) {
    endAll(members.subList(0, 1), RunEnd.Cause.TASK_FAILED);
    endAll(members.subList(1, members.size()), RunEnd.Cause.GROUP_BROKEN);
  }

  private static void endAll(List<Member> members, RunEnd.Cause cause) {
    members.forEach(member -> member.minion.fake().endTask(member.taskRun, cause));
  }

  /** Returns a running task with its demand, the time since its start and its estimate. */
  String describe(TaskRun taskRun, long nowMillis) {
    WorkingRun run = runs.get(runKey(taskRun));
    long presentMillis = run == null ? 0 : nowMillis - run.seenMillis;
    WorkflowStep step = stepOf(taskRun);
    return taskRun
        + " ("
        + WaitingStep.demandOf(step).accelerators()
        + " accelerators, "
        + presentMillis
        + " of estimated "
        + step.getEstimatedMillis()
        + " ms"
        + (step.getLongRunning() ? ", long-running)" : ")");
  }

  private record Member(ModelMinion minion, TaskRun taskRun) {}

  private static final class WorkingRun {

    private final long seenMillis;
    private boolean complete;
    private boolean fails;
    private long endMillis = Long.MAX_VALUE;

    WorkingRun(long seenMillis) {
      this.seenMillis = seenMillis;
    }
  }
}
