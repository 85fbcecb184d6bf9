package org.hickoryspar.kernel.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.hickoryspar.kernel.dispatch.order.Order;
import org.hickoryspar.protocol.WorkflowBatch;
import org.hickoryspar.protocol.WorkflowEvent;

/**
 * Collects the orders to send and the log events to propose. The events are divided into batches of
 * limited size, because a command that exceeds the limit of the replicated log is never recorded.
 */
final class Outbox {

  /** Half of the largest command that the replicated log accepts. */
  static final int MAX_BATCH_BYTES = 1 << 20;

  private final List<Order> orders = new ArrayList<>();
  private final List<WorkflowEvent> proposals = new ArrayList<>();
  private int proposalsBytes;
  private final Deque<WorkflowBatch> closedBatches = new ArrayDeque<>();
  private long batchNumber;

  /**
   * Creates an empty outbox.
   *
   * @param firstBatchNumber number of the first batch, positive and higher than those of earlier
   *     dispatchers of this process whose batches may still be recorded
   */
  Outbox(long firstBatchNumber) {
    batchNumber = firstBatchNumber;
  }

  void send(Order order) {
    orders.add(order);
  }

  void propose(WorkflowEvent event) {
    int sizeBytes = event.getSerializedSize();
    if (proposalsBytes + sizeBytes > MAX_BATCH_BYTES) {
      closeBatch();
    }
    proposals.add(event);
    proposalsBytes += sizeBytes;
  }

  /** Returns the number of the batch that the latest proposed event belongs to. */
  long batchNumber() {
    return batchNumber;
  }

  List<Order> takeOrders() {
    List<Order> taken = List.copyOf(orders);
    orders.clear();
    return taken;
  }

  /** Returns the next batch of events to propose, without events if there is none. */
  WorkflowBatch takeProposals() {
    if (closedBatches.isEmpty()) {
      closeBatch();
    }
    WorkflowBatch batch = closedBatches.pollFirst();
    return batch == null ? WorkflowBatch.getDefaultInstance() : batch;
  }

  private void closeBatch() {
    if (proposals.isEmpty()) {
      return;
    }
    closedBatches.addLast(
        WorkflowBatch.newBuilder().addAllEvents(proposals).setDispatchNumber(batchNumber).build());
    batchNumber++;
    proposals.clear();
    proposalsBytes = 0;
  }
}
