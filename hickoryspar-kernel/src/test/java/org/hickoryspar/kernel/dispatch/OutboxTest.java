package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.hickoryspar.protocol.ForgetWorkflow;
import org.hickoryspar.protocol.WorkflowBatch;
import org.hickoryspar.protocol.WorkflowEvent;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class OutboxTest {

  // -- takeProposals

  @DataProvider
  Object[][] eventSizes() {
    return new Object[][] {{1, 1_000}, {100, 1}, {Outbox.MAX_BATCH_BYTES / 3, 7}};
  }

  /** Guards against a batch of events that exceeds the largest command and is never recorded. */
  @Test(dataProvider = "eventSizes")
  public void shouldDivideBatchesWhenEventsAreLarge(int idBytes, int events) {
    Outbox outbox = new Outbox(1);
    List<String> proposed = new ArrayList<>();
    List<Long> batchNumbers = new ArrayList<>();
    for (int i = 0; i < events; i++) {
      String id = String.format("%0" + idBytes + "d", i);
      outbox.propose(forget(id));
      proposed.add(id);
      batchNumbers.add(outbox.batchNumber());
    }
    List<String> taken = new ArrayList<>();
    List<Long> takenNumbers = new ArrayList<>();
    for (WorkflowBatch batch = outbox.takeProposals();
        batch.getEventsCount() > 0;
        batch = outbox.takeProposals()) {
      assertTrue(batch.getSerializedSize() <= Outbox.MAX_BATCH_BYTES + (64 << 10));
      for (WorkflowEvent event : batch.getEventsList()) {
        taken.add(event.getForget().getWorkflowId());
        takenNumbers.add(batch.getDispatchNumber());
      }
    }
    assertEquals(taken, proposed);
    assertEquals(takenNumbers, batchNumbers);
  }

  private static WorkflowEvent forget(String workflowId) {
    return WorkflowEvent.newBuilder()
        .setForget(ForgetWorkflow.newBuilder().setWorkflowId(workflowId))
        .build();
  }
}
