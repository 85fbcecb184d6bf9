package org.hickoryspar.bench.workflow;

import java.util.List;

/**
 * Workflows of one kind, as a deployment describes them.
 *
 * @param name name of the kind
 * @param priority priority of its queue; 0 comes first
 * @param perSecond workflows per second
 * @param tasks mean number of tasks of a step
 * @param maxTasks largest number of tasks of a step
 * @param cpuMillicores processor demand of a task
 * @param memoryMegabytes memory of a task
 * @param accelerators accelerators of a task, one of these at random
 * @param workMillis mean work of a task
 * @param gang whether the tasks of a step run together
 * @param sameRackShare share of the gangs that must be in one rack to run at full speed
 * @param checkpointShare share of the workflows whose tasks checkpoint
 * @param failureShare share of the runs that fail through their own fault
 * @param hopelessShare share of the workflows whose tasks always fail
 * @param cancelShare share of the workflows that are cancelled while they run
 * @param maxAttempts runs of a group that may fail
 * @param stretch factor of the objective
 * @param targetMillis constant part of the objective
 * @param worth credit of a workflow of mean size that is done within its objective
 * @param lateWorth credit if it takes up to three times as long
 */
record WorkflowKind(
    String name,
    int priority,
    double perSecond,
    double tasks,
    int maxTasks,
    long cpuMillicores,
    long memoryMegabytes,
    List<Integer> accelerators,
    double workMillis,
    boolean gang,
    double sameRackShare,
    double checkpointShare,
    double failureShare,
    double hopelessShare,
    double cancelShare,
    int maxAttempts,
    double stretch,
    double targetMillis,
    double worth,
    double lateWorth) {

  WorkflowKind {
    accelerators = List.copyOf(accelerators);
  }

  /** Returns the same kind with another rate. */
  WorkflowKind withScaledRate(double factor) {
    return new WorkflowKind(
        name,
        priority,
        perSecond * factor,
        tasks,
        maxTasks,
        cpuMillicores,
        memoryMegabytes,
        accelerators,
        workMillis,
        gang,
        sameRackShare,
        checkpointShare,
        failureShare,
        hopelessShare,
        cancelShare,
        maxAttempts,
        stretch,
        targetMillis,
        worth,
        lateWorth);
  }
}
