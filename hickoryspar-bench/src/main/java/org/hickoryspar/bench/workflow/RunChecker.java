package org.hickoryspar.bench.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickoryspar.kernel.dispatch.Order;
import org.hickoryspar.kernel.dispatch.TaskRun;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.TaskDemand;
import org.hickoryspar.protocol.WorkflowStep;

/** Checks each start of a simulated minion against the promises of the product. */
final class RunChecker {

  private final Map<TaskRun, SimulatedMinion> runningTasks = new HashMap<>();
  private final Map<SimulatedMinion, long[]> used = new HashMap<>();
  private final Map<TaskRun, Long> lastStartMillis = new HashMap<>();
  private final Set<TaskRun> ended = new HashSet<>();
  private final Set<TaskRun> done = new HashSet<>();
  private final Map<TaskRun, Set<Integer>> failedRuns = new HashMap<>();
  private final List<String> broken = new ArrayList<>();

  List<String> broken() {
    return broken;
  }

  void starting(
      SimulatedMinion minion, SimulatedWorkflow workflow, Order.Start order, long nowMillis) {
    TaskRun task = withoutRun(order.taskRun());
    WorkflowStep step = workflow.submission().getSpec().getSteps(task.step());
    String where = order.taskRun() + " on " + minion.id() + " at " + nowMillis + " ms";
    SimulatedMinion other = runningTasks.get(task);
    if (other != null && other.isUp()) {
      broken.add("runs twice: " + where + ", also on " + other.id());
    }
    if (done.contains(step.getGang() ? groupOf(task) : task)) {
      broken.add("starts after it was done: " + where);
    }
    Set<Integer> failures = failedRuns.get(step.getGang() ? groupOf(task) : task);
    if (failures != null && failures.size() >= workflow.kind().maxAttempts()) {
      broken.add("starts after its last attempt: " + where);
    }
    for (int dependency : step.getDependsOnList()) {
      if (!isStepDone(workflow, task, dependency)) {
        broken.add("starts before step " + dependency + " is done: " + where);
      }
    }
    take(minion, step.getDemand(), where);
    runningTasks.put(task, minion);
    lastStartMillis.put(task, nowMillis);
  }

  private boolean isStepDone(SimulatedWorkflow workflow, TaskRun task, int dependency) {
    WorkflowStep step = workflow.submission().getSpec().getSteps(dependency);
    for (int i = 0; i < step.getTasks(); i++) {
      TaskRun other = new TaskRun(task.workflowId(), task.occurrence(), dependency, i, 0);
      if (!ended.contains(step.getGang() ? groupOf(other) : other)) {
        return false;
      }
    }
    return true;
  }

  private void take(SimulatedMinion minion, TaskDemand demand, String where) {
    long[] sum = used.computeIfAbsent(minion, m -> new long[3]);
    sum[0] += demand.getCpuMillicores();
    sum[1] += demand.getMemoryMegabytes();
    sum[2] += demand.getAccelerators();
    TaskDemand capacity = minion.capacity();
    if (sum[0] > capacity.getCpuMillicores()
        || sum[1] > capacity.getMemoryMegabytes()
        || sum[2] > capacity.getAccelerators()) {
      broken.add("exceeds the capacity: " + where);
    }
  }

  void ended(SimulatedMinion minion, SimulatedRun run, RunEnd.Cause cause) {
    TaskRun task = withoutRun(run.taskRun());
    WorkflowStep step = run.workflow().submission().getSpec().getSteps(task.step());
    if (runningTasks.get(task) == minion) {
      runningTasks.remove(task);
    }
    if (cause == RunEnd.Cause.DONE) {
      ended.add(step.getGang() ? groupOf(task) : task);
    }
    long[] sum = used.computeIfAbsent(minion, m -> new long[3]);
    sum[0] -= step.getDemand().getCpuMillicores();
    sum[1] -= step.getDemand().getMemoryMegabytes();
    sum[2] -= step.getDemand().getAccelerators();
  }

  /** An end was acknowledged to its minion; what is never acknowledged may be repeated. */
  void noted(SimulatedWorkflow workflow, TaskRun taskRun, RunEnd.Cause cause, long endedMillis) {
    TaskRun task = withoutRun(taskRun);
    boolean gang = workflow.submission().getSpec().getSteps(task.step()).getGang();
    TaskRun counted = gang ? groupOf(task) : task;
    if (cause == RunEnd.Cause.DONE) {
      done.add(counted);
      if (lastStartMillis.getOrDefault(task, Long.MIN_VALUE) > endedMillis) {
        broken.add("was started after it was done at " + endedMillis + " ms: " + task);
      }
    } else if (cause == RunEnd.Cause.TASK_FAILED) {
      failedRuns.computeIfAbsent(counted, t -> new HashSet<>()).add(taskRun.run());
    }
  }

  private static TaskRun withoutRun(TaskRun taskRun) {
    return new TaskRun(
        taskRun.workflowId(), taskRun.occurrence(), taskRun.step(), taskRun.task(), 0);
  }

  private static TaskRun groupOf(TaskRun task) {
    return new TaskRun(task.workflowId(), task.occurrence(), task.step(), -1, 0);
  }
}
