package org.hickoryspar.kernel.dispatch;

import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.kernel.workflow.WorkflowTable;
import org.hickoryspar.protocol.ForgetWorkflow;
import org.hickoryspar.protocol.WorkflowEvent;

/** Proposes to remove ended workflows whose retention has expired. */
final class Retention {

  private final WorkflowTable table;
  private final Outbox outbox;
  private final long retentionMillis;

  Retention(WorkflowTable table, Outbox outbox, long retentionMillis) {
    this.table = table;
    this.outbox = outbox;
    this.retentionMillis = retentionMillis;
  }

  void sweep(long wallMillis) {
    for (Workflow workflow : table.all()) {
      if (isExpired(workflow, wallMillis)) {
        outbox.propose(
            WorkflowEvent.newBuilder()
                .setForget(ForgetWorkflow.newBuilder().setWorkflowId(workflow.id()))
                .build());
      }
    }
  }

  private boolean isExpired(Workflow workflow, long wallMillis) {
    return workflow.isEnded()
        && wallMillis - workflow.endedMillis() > retentionMillis
        && workflow.openGroups().stream().allMatch(group -> group.activeRuns().isEmpty());
  }
}
