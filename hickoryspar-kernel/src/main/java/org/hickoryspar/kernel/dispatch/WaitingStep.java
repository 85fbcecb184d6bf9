package org.hickoryspar.kernel.dispatch;

import java.util.List;
import org.hickoryspar.kernel.dispatch.order.TaskRun;
import org.hickoryspar.kernel.value.Resources;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.protocol.Queue;
import org.hickoryspar.protocol.TaskDemand;
import org.hickoryspar.protocol.WorkflowStep;

/**
 * A step whose dependencies are done and some of whose groups wait for a placement.
 *
 * @param workflow the workflow
 * @param queue the queue of the workflow as in the catalog of the planning round
 * @param occurrence number of the occurrence
 * @param stepIndex index of the step
 * @param dueMillis due time of the occurrence, or time of acceptance for a workflow that runs at
 *     once, in milliseconds since the epoch
 * @param groups the groups that wait
 */
record WaitingStep(
    Workflow workflow,
    Queue queue,
    int occurrence,
    int stepIndex,
    long dueMillis,
    List<TaskGroup> groups) {

  /**
   * Identifies groups that wait for the same reason.
   *
   * @param firstTask first task of a group that has failed, -1 for the others of the step
   */
  record WaitId(String workflowId, int occurrence, int stepIndex, int firstTask) {}

  /** Returns what a group waits as; groups without failures share all that keeps them waiting. */
  WaitId waitIdOf(TaskGroup group) {
    int firstTask = group.failures() == 0 ? -1 : group.firstTask();
    return new WaitId(workflow.id(), occurrence, stepIndex, firstTask);
  }

  /** Returns this step with another version of its queue. */
  WaitingStep withQueue(Queue newQueue) {
    return new WaitingStep(workflow, newQueue, occurrence, stepIndex, dueMillis, groups);
  }

  WorkflowStep step() {
    return workflow.spec().getSteps(stepIndex);
  }

  /**
   * Returns the resources that one task occupies on a minion. A step that fills uses only processor
   * time that other tasks leave idle, so none is allocated for it.
   */
  Resources demand() {
    return demandOf(step());
  }

  /**
   * Returns the resources that one task counts for in the quota of its team: all that it demands,
   * also what it leaves to other tasks.
   */
  Resources declaredDemand() {
    return Resources.of(step().getDemand());
  }

  /** Returns the team that the tasks count for. */
  String team() {
    return workflow.submission().getTeam();
  }

  static Resources demandOf(WorkflowStep step) {
    TaskDemand demand = step.getDemand();
    return step.getFills()
        ? new Resources(0, demand.getMemoryMegabytes(), demand.getAccelerators())
        : Resources.of(demand);
  }

  /** Returns the run that the first task of a group will have next. */
  TaskRun nextRunOf(TaskGroup group) {
    return new TaskRun(
        workflow.id(), occurrence, stepIndex, group.firstTask(), group.lastRun() + 1);
  }
}
