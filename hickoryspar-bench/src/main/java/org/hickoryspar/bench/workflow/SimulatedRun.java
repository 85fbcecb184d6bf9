package org.hickoryspar.bench.workflow;

import org.hickoryspar.kernel.dispatch.TaskRun;

/** A task that a simulated minion runs. */
final class SimulatedRun {

  private final TaskRun taskRun;
  private final SimulatedWorkflow workflow;
  private final long startedMillis;
  private double doneMillis;
  private boolean working;
  private long stopMillis = Long.MAX_VALUE;
  private final boolean fails;
  private final double failAtShare;

  SimulatedRun(
      TaskRun taskRun,
      SimulatedWorkflow workflow,
      long startedMillis,
      double resumedMillis,
      boolean fails,
      double failAtShare) {
    this.taskRun = taskRun;
    this.workflow = workflow;
    this.startedMillis = startedMillis;
    this.doneMillis = resumedMillis;
    this.fails = fails;
    this.failAtShare = failAtShare;
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

  void work() {
    working = true;
  }

  void stopAt(long atMillis) {
    stopMillis = Math.min(stopMillis, atMillis);
  }

  long stopMillis() {
    return stopMillis;
  }

  void advance(double millis) {
    if (working) {
      doneMillis += millis;
    }
  }

  double doneMillis() {
    return doneMillis;
  }

  int percent() {
    return (int) Math.min(100, 100 * doneMillis / workflow.workMillis());
  }

  boolean isDone() {
    return doneMillis >= workflow.workMillis();
  }

  boolean isFailing() {
    return fails && doneMillis >= failAtShare * workflow.workMillis();
  }

  /** Returns the checkpoint, which tells how much is saved; empty for none. */
  String checkpoint() {
    boolean saves = workflow.submission().getSpec().getSteps(taskRun.step()).getCheckpointing();
    long saved = ((long) doneMillis / 1_000) * 1_000;
    return saves && saved > 0 ? Long.toString(saved) : "";
  }
}
