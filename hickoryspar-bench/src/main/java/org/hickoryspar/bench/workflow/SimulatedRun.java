package org.hickoryspar.bench.workflow;

import org.hickoryspar.kernel.dispatch.order.TaskRun;
import org.hickoryspar.protocol.RunEnd;

/** A run of a task on a simulated minion. */
final class SimulatedRun {

  private static final long CHECKPOINT_INTERVAL_MILLIS = 1_000;
  private static final long RESTORE_MILLIS = 400;

  private final TaskRun taskRun;
  private final SimulatedWorkflow workflow;
  private final long startedMillis;
  private final double resumedWorkMillis;
  private double completedWorkMillis;
  private boolean working;
  private long stopMillis = Long.MAX_VALUE;
  private final boolean failing;
  private final double failureShareOfWork;

  SimulatedRun(
      TaskRun taskRun,
      SimulatedWorkflow workflow,
      long startedMillis,
      double resumedWorkMillis,
      boolean failing,
      double failureShareOfWork) {
    this.taskRun = taskRun;
    this.workflow = workflow;
    this.startedMillis = startedMillis;
    this.resumedWorkMillis = resumedWorkMillis;
    // Restoring a checkpoint delays the work.
    this.completedWorkMillis = resumedWorkMillis > 0 ? resumedWorkMillis - RESTORE_MILLIS : 0;
    this.failing = failing;
    this.failureShareOfWork = failureShareOfWork;
    this.working = !workflow.submission().getSpec().getSteps(taskRun.step()).getGang();
  }

  TaskRun taskRun() {
    return taskRun;
  }

  SimulatedWorkflow workflow() {
    return workflow;
  }

  long startedMillis() {
    return startedMillis;
  }

  boolean isWorking() {
    return working;
  }

  void startWork() {
    working = true;
  }

  void requestStop(long atMillis) {
    stopMillis = Math.min(stopMillis, atMillis);
  }

  long stopMillis() {
    return stopMillis;
  }

  void advance(double millis) {
    if (working) {
      completedWorkMillis += millis;
    }
  }

  double completedWorkMillis() {
    return completedWorkMillis;
  }

  int progressPercent() {
    return (int) Math.min(100, 100 * completedWorkMillis / workflow.workMillis());
  }

  boolean isCompleted() {
    return completedWorkMillis >= workflow.workMillis();
  }

  boolean hasFailed() {
    return failing && completedWorkMillis >= failureShareOfWork * workflow.workMillis();
  }

  /** Returns the work of this run that is not in the checkpoint when it ends with a cause. */
  double lostWorkMillis(RunEnd.Cause cause) {
    String checkpoint = checkpoint(cause);
    long checkpointedMillis = checkpoint.isEmpty() ? 0 : Long.parseLong(checkpoint);
    return Math.max(
        0, completedWorkMillis - Math.max(resumedWorkMillis, (double) checkpointedMillis));
  }

  /** Returns the newest periodic checkpoint, empty for none. */
  String checkpoint() {
    return checkpoint(
        (long) completedWorkMillis / CHECKPOINT_INTERVAL_MILLIS * CHECKPOINT_INTERVAL_MILLIS);
  }

  /** Returns the checkpoint of a run that ends, empty for none; a stop saves all completed work. */
  String checkpoint(RunEnd.Cause cause) {
    return cause == RunEnd.Cause.STOPPED ? checkpoint((long) completedWorkMillis) : checkpoint();
  }

  private String checkpoint(long checkpointedMillis) {
    boolean takesCheckpoints =
        workflow.submission().getSpec().getSteps(taskRun.step()).getCheckpointing();
    return takesCheckpoints && checkpointedMillis > 0 ? Long.toString(checkpointedMillis) : "";
  }
}
