package org.hickoryspar.kernel.dispatch;

import java.util.List;
import org.hickoryspar.kernel.dispatch.order.TaskRun;
import org.hickoryspar.protocol.WorkflowStep;

/**
 * A workflow of a model schedule with the behaviour of its tasks.
 *
 * @param id identifier of the workflow
 * @param team its team
 * @param priority priority of its queue
 * @param steps its steps
 * @param behaviours the behaviour of the tasks of each step
 */
record ModelWorkflow(
    String id, String team, int priority, List<WorkflowStep> steps, List<Behaviour> behaviours) {

  WorkflowStep step(TaskRun run) {
    return steps.get(run.step());
  }

  Behaviour behaviour(TaskRun run) {
    return behaviours.get(run.step());
  }

  WorkflowStep.Builder[] stepBuilders() {
    return steps.stream().map(WorkflowStep::toBuilder).toArray(WorkflowStep.Builder[]::new);
  }

  /**
   * How the tasks of a step behave.
   *
   * @param runMillis real run time of an attempt that succeeds
   * @param failures number of attempts of each group that fail by a fault of the task
   * @param failsImmediately whether these attempts fail right after their start
   */
  record Behaviour(long runMillis, int failures, boolean failsImmediately) {}
}
