package org.hickoryspar.kernel.dispatch;

import java.util.Collection;
import org.hickoryspar.kernel.runtime.RunProfile;
import org.hickoryspar.kernel.runtime.RunTimeDistribution;
import org.hickoryspar.kernel.runtime.RunTimePredictor;
import org.hickoryspar.kernel.runtime.RunningRuns;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.protocol.WorkflowStep;

/**
 * The run times that the planner expects of steps and of active runs. Work is ordered by medians;
 * what others rely on, as the end of a backfilled run, is a high quantile.
 */
final class RunTimeEstimates {

  /** Share of the runs that end within the time that is promised to others. */
  private static final double PROMISED_SHARE = 0.9;

  /**
   * Share of the active runs that end within their remaining time. Waiting for a run to end can be
   * given up later, while its preemption cannot be taken back, so no margin is added here.
   */
  private static final double REMAINING_SHARE = 0.5;

  private final RunTimePredictor predictor;

  RunTimeEstimates(RunTimePredictor predictor) {
    this.predictor = predictor;
  }

  /** Returns the median run time of a group of a step, in milliseconds. */
  long medianMillis(Workflow workflow, int stepIndex) {
    return predict(workflow, stepIndex).medianMillis();
  }

  /** Returns the time in milliseconds within which a run of a step is promised to end. */
  long promisedMillis(Workflow workflow, int stepIndex) {
    return predict(workflow, stepIndex).quantileMillis(PROMISED_SHARE);
  }

  /** Returns the expected time until an active run ends, in milliseconds. */
  long remainingMillis(ActiveRun run, long nowMillis) {
    return predict(run.workflow(), run.stepIndex())
        .remainingQuantileMillis(run.runningMillis(nowMillis), REMAINING_SHARE);
  }

  /** Returns what was expected of a run before it could tell anything itself. */
  RunTimeDistribution initialExpectation(ActiveRun run) {
    return run.expectation(() -> predict(run.workflow(), run.stepIndex()));
  }

  private RunTimeDistribution predict(Workflow workflow, int stepIndex) {
    return predictor.predict(
        workflow.runProfile(stepIndex),
        RunProfile.declaredMillis(workflow.spec().getSteps(stepIndex)));
  }

  /** Takes account of the active runs in what is expected of their like. */
  void observeRunning(Collection<ActiveRun> runs, long nowMillis) {
    RunningRuns running = new RunningRuns();
    for (ActiveRun run : runs) {
      initialExpectation(run);
      if (run.isWhole() && !run.isStopRequested() && run.isConfirmed()) {
        WorkflowStep step = run.step();
        running.add(
            run.workflow().runProfile(run.stepIndex()),
            RunProfile.declaredMillis(step),
            step.getTasks(),
            run.runningMillis(nowMillis));
      }
    }
    predictor.setRunning(running);
  }

  /** Records the run time of a whole run in milliseconds. */
  void recordCompletion(ActiveRun run, long runMillis) {
    predictor.recordCompletion(
        run.workflow().runProfile(run.stepIndex()),
        RunProfile.declaredMillis(run.step()),
        runMillis);
  }
}
