package org.hickoryspar.bench.workflow;

import org.hickoryspar.protocol.SubmitWorkflow;

/**
 * A submitted workflow and what only the simulation knows of it.
 *
 * @param kind its kind
 * @param submission what was submitted
 * @param submittedMillis when
 * @param workMillis work of one task on a sound minion
 * @param failureShare share of its runs that fail
 * @param cancelMillis when it is cancelled, or {@link Long#MAX_VALUE}
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
