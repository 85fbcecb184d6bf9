package org.hickoryspar.bench.workflow;

import org.hickoryspar.protocol.SubmitWorkflow;

/**
 * A submitted workflow, and the properties of it that are hidden from the dispatcher.
 *
 * @param kind kind of the workflow
 * @param submission the workflow as submitted
 * @param submittedMillis time of the submission
 * @param workMillis work of one task on a healthy minion
 * @param failureShare share of the runs that fail
 * @param cancelMillis time of the cancellation, {@link Long#MAX_VALUE} for none
 */
record SimulatedWorkflow(
    WorkflowKind kind,
    SubmitWorkflow submission,
    long submittedMillis,
    long workMillis,
    double failureShare,
    long cancelMillis) {

  boolean alwaysFails() {
    return failureShare >= 1;
  }

  long completionTargetMillis() {
    int steps = submission.getSpec().getStepsCount();
    return (long) (kind.stretch() * workMillis * steps + kind.targetMillis());
  }
}
