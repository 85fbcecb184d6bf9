package org.hickoryspar.bench.workflow;

import org.hickoryspar.kernel.dispatch.TaskRun;
import org.hickoryspar.protocol.RunEnd;

/** A task that a simulated minion runs. */
final class SimulatedRun {

  private static final long CHECKPOINT_MILLIS = 1_000;
  private static final long RESTORE_MILLIS = 400;

  private final TaskRun taskRun;
  private final SimulatedWorkflow workflow;
  private final long startedMillis;
  private final double resumedMillis;
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
    this.resumedMillis = resumedMillis;
    // The time to restore comes before the work goes on.
    this.doneMillis = resumedMillis > 0 ? resumedMillis - RESTORE_MILLIS : 0;
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

  /** Returns the work that is lost when the run ends and is started again. */
  double lostMillis(RunEnd.Cause cause) {
    String saved = checkpoint(cause);
    long savedMillis = saved.isEmpty() ? 0 : Long.parseLong(saved);
    return Math.max(0, doneMillis - Math.max(resumedMillis, (double) savedMillis));
  }

  /** Returns the newest checkpoint of a run that goes on, empty for none. */
  String checkpoint() {
    return checkpoint((long) doneMillis / CHECKPOINT_MILLIS * CHECKPOINT_MILLIS);
  }

  /** Returns the checkpoint of a run that ends, empty for none; a stop saves all that is done. */
  String checkpoint(RunEnd.Cause cause) {
    return cause == RunEnd.Cause.STOPPED ? checkpoint((long) doneMillis) : checkpoint();
  }

  private String checkpoint(long savedMillis) {
    boolean saves = workflow.submission().getSpec().getSteps(taskRun.step()).getCheckpointing();
    return saves && savedMillis > 0 ? Long.toString(savedMillis) : "";
  }
}
