package org.hickoryspar.bench.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickoryspar.kernel.dispatch.order.Order;
import org.hickoryspar.kernel.dispatch.order.TaskRun;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.TaskDemand;
import org.hickoryspar.protocol.WorkflowStep;

/**
 * Checks invariants when a simulated minion starts a task: the task does not run elsewhere, is not
 * completed and has attempts left, its dependencies are completed, and the minion has the capacity.
 */
final class RunChecker {

  private final Map<TaskRun, SimulatedMinion> minionByRunningTask = new HashMap<>();
  private final Map<SimulatedMinion, long[]> allocatedByMinion = new HashMap<>();
  private final Map<TaskRun, Long> lastStartMillis = new HashMap<>();
  private final Set<TaskRun> completedTasks = new HashSet<>();
  private final Set<TaskRun> acknowledgedCompletions = new HashSet<>();
  private final Map<TaskRun, Set<Integer>> acknowledgedFailedRuns = new HashMap<>();
  private final List<String> violations = new ArrayList<>();

  List<String> violations() {
    return violations;
  }

  void checkStart(
      SimulatedMinion minion, SimulatedWorkflow workflow, Order.Start order, long nowMillis) {
    TaskRun task = taskOf(order.taskRun());
    WorkflowStep step = workflow.submission().getSpec().getSteps(task.step());
    String description = order.taskRun() + " on " + minion.id() + " at " + nowMillis + " ms";
    SimulatedMinion other = minionByRunningTask.get(task);
    if (other != null && other.isUp()) {
      violations.add("runs twice: " + description + ", also on " + other.id());
    }
    if (acknowledgedCompletions.contains(step.getGang() ? groupOf(task) : task)) {
      violations.add("starts after its completion: " + description);
    }
    Set<Integer> failedRuns = acknowledgedFailedRuns.get(step.getGang() ? groupOf(task) : task);
    if (failedRuns != null && failedRuns.size() >= workflow.kind().maxAttempts()) {
      violations.add("starts after its last attempt: " + description);
    }
    for (int dependency : step.getDependsOnList()) {
      if (!isStepCompleted(workflow, task, dependency)) {
        violations.add("starts before step " + dependency + " is completed: " + description);
      }
    }
    allocate(minion, step.getDemand(), description);
    minionByRunningTask.put(task, minion);
    lastStartMillis.put(task, nowMillis);
  }

  private boolean isStepCompleted(SimulatedWorkflow workflow, TaskRun task, int dependency) {
    WorkflowStep step = workflow.submission().getSpec().getSteps(dependency);
    for (int i = 0; i < step.getTasks(); i++) {
      TaskRun other = new TaskRun(task.workflowId(), task.occurrence(), dependency, i, 0);
      if (!completedTasks.contains(step.getGang() ? groupOf(other) : other)) {
        return false;
      }
    }
    return true;
  }

  private void allocate(SimulatedMinion minion, TaskDemand demand, String description) {
    long[] allocated = allocatedByMinion.computeIfAbsent(minion, m -> new long[3]);
    allocated[0] += demand.getCpuMillicores();
    allocated[1] += demand.getMemoryMegabytes();
    allocated[2] += demand.getAccelerators();
    TaskDemand capacity = minion.capacity();
    if (allocated[0] > capacity.getCpuMillicores()
        || allocated[1] > capacity.getMemoryMegabytes()
        || allocated[2] > capacity.getAccelerators()) {
      violations.add("exceeds the capacity: " + description);
    }
  }

  void recordEnd(SimulatedMinion minion, SimulatedRun run, RunEnd.Cause cause) {
    TaskRun task = taskOf(run.taskRun());
    WorkflowStep step = run.workflow().submission().getSpec().getSteps(task.step());
    if (minionByRunningTask.get(task) == minion) {
      minionByRunningTask.remove(task);
    }
    if (cause == RunEnd.Cause.DONE) {
      completedTasks.add(step.getGang() ? groupOf(task) : task);
    }
    long[] allocated = allocatedByMinion.computeIfAbsent(minion, m -> new long[3]);
    allocated[0] -= step.getDemand().getCpuMillicores();
    allocated[1] -= step.getDemand().getMemoryMegabytes();
    allocated[2] -= step.getDemand().getAccelerators();
  }

  /**
   * Records an end that the leader has acknowledged to the minion. A run whose end is never
   * acknowledged may be repeated.
   */
  void recordAcknowledgedEnd(
      SimulatedWorkflow workflow, TaskRun taskRun, RunEnd.Cause cause, long endMillis) {
    TaskRun task = taskOf(taskRun);
    boolean gang = workflow.submission().getSpec().getSteps(task.step()).getGang();
    TaskRun taskOrGroup = gang ? groupOf(task) : task;
    if (cause == RunEnd.Cause.DONE) {
      acknowledgedCompletions.add(taskOrGroup);
      if (lastStartMillis.getOrDefault(task, Long.MIN_VALUE) > endMillis) {
        violations.add("was started after its completion at " + endMillis + " ms: " + task);
      }
    } else if (cause == RunEnd.Cause.TASK_FAILED) {
      acknowledgedFailedRuns.computeIfAbsent(taskOrGroup, t -> new HashSet<>()).add(taskRun.run());
    }
  }

  private static TaskRun taskOf(TaskRun taskRun) {
    return new TaskRun(
        taskRun.workflowId(), taskRun.occurrence(), taskRun.step(), taskRun.task(), 0);
  }

  private static TaskRun groupOf(TaskRun task) {
    return new TaskRun(task.workflowId(), task.occurrence(), task.step(), -1, 0);
  }
}
