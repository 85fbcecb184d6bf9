package org.hickoryspar.bench.workflow;

import java.util.List;

/**
 * A kind of workflows in a deployment. The component names are keys of the deployment files.
 *
 * @param name name of the kind
 * @param priority priority of its queue; 0 is the highest
 * @param perSecond mean number of workflows per second
 * @param tasks mean number of tasks of a step
 * @param maxTasks maximum number of tasks of a step
 * @param cpuMillicores CPU demand of a task
 * @param memoryMegabytes memory demand of a task
 * @param accelerators numbers of accelerators of a task, drawn with equal probability
 * @param workMillis mean work of a task
 * @param gang whether the tasks of a step are a gang
 * @param sameRackShare share of the gangs that reach full speed only within one rack
 * @param checkpointShare share of the workflows whose tasks take checkpoints
 * @param failureShare share of the runs that fail, independently of their minion
 * @param hopelessShare share of the workflows whose tasks always fail
 * @param cancelShare share of the workflows that are cancelled
 * @param maxAttempts number of failed runs after which a group of tasks fails
 * @param stretch factor of the work in the completion target
 * @param targetMillis constant part of the completion target
 * @param worth credit for a workflow of mean size that completes within its target
 * @param lateWorth credit if it completes within three times its target
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

  /** Returns the same kind with its arrival rate multiplied by a factor. */
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
