package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.List;
import org.hickoryspar.protocol.WorkflowBatch;
import org.hickoryspar.protocol.WorkflowEvent;

/** Collects the orders to send and the log events to propose. */
final class Outbox {

  private final List<Order> orders = new ArrayList<>();
  private final List<WorkflowEvent> proposals = new ArrayList<>();
  private long batchNumber = 1;

  void send(Order order) {
    orders.add(order);
  }

  void propose(WorkflowEvent event) {
    proposals.add(event);
  }

  /** Returns the number of the batch that the next proposed event belongs to. */
  long batchNumber() {
    return batchNumber;
  }

  List<Order> takeOrders() {
    List<Order> taken = List.copyOf(orders);
    orders.clear();
    return taken;
  }

  WorkflowBatch takeProposals() {
    if (proposals.isEmpty()) {
      return WorkflowBatch.getDefaultInstance();
    }
    WorkflowBatch batch =
        WorkflowBatch.newBuilder().addAllEvents(proposals).setDispatchNumber(batchNumber).build();
    batchNumber++;
    proposals.clear();
    return batch;
  }
}
