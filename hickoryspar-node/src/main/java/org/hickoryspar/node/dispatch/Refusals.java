package org.hickoryspar.node.dispatch;

import java.util.Set;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.WorkflowCall;
import org.hickoryspar.protocol.WorkflowReply;

/**
 * Tells which replies to a retried call may contradict an earlier attempt, which may have taken
 * effect before the state changed that the refusal is based on, or may still do so.
 */
final class Refusals {

  /** Outcomes that depend on the catalog and the load at the time of the attempt. */
  private static final Set<WorkflowReply.Outcome> STATE_DEPENDENT_REFUSALS =
      Set.of(
          WorkflowReply.Outcome.REFUSED,
          WorkflowReply.Outcome.NO_QUEUE,
          WorkflowReply.Outcome.UNAUTHORISED);

  private Refusals() {}

  /**
   * Returns whether a reply says that a call had no effect although an earlier attempt may have.
   */
  static boolean mayContradictEarlierAttempt(Envelope.Builder call, Envelope reply) {
    return call.getRetried()
        && call.hasWorkflowCall()
        && changesState(call.getWorkflowCall())
        && STATE_DEPENDENT_REFUSALS.contains(reply.getWorkflowReply().getOutcome());
  }

  private static boolean changesState(WorkflowCall call) {
    return call.hasSubmit() || call.hasCancel();
  }
}
