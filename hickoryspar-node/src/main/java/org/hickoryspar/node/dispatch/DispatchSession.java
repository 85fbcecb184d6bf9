package org.hickoryspar.node.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.control.ControlState;
import org.hickoryspar.kernel.dispatch.DispatchSettings;
import org.hickoryspar.kernel.dispatch.Dispatcher;
import org.hickoryspar.kernel.dispatch.order.Order;
import org.hickoryspar.kernel.workflow.WorkflowTable;
import org.hickoryspar.node.control.Proposer;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.protocol.Command;
import org.hickoryspar.protocol.WorkflowBatch;

/**
 * Connects one dispatcher to the replicated log and to the minions, within one term. Confined to
 * the thread of the dispatch loop.
 */
final class DispatchSession {

  private static final long STATUS_INTERVAL_MILLIS = 1_000;

  /** Orders that are sent before responses are handled; the others follow in the next round. */
  private static final int MAX_ORDERS_PER_ROUND = 32;

  private final Proposer proposer;
  private final Executor loop;
  private final LongSupplier monotonicMillis;
  private final long term;
  private final long snapshotBatchNumber;
  private final Dispatcher dispatcher;
  private final OrderSender orderSender;
  private final DecisionTelemetry telemetry;
  private final Deque<Order> unsentOrders = new ArrayDeque<>();
  private long nextStatusMillis;
  private boolean failed;

  DispatchSession(
      ControlState state,
      Proposer proposer,
      FencingTokens fencingTokens,
      MinionClient minionClient,
      DispatchSettings settings,
      DecisionTelemetry telemetry,
      Executor loop,
      LongSupplier monotonicMillis) {
    this.telemetry = requireNonNull(telemetry, "telemetry is null");
    this.proposer = requireNonNull(proposer, "proposer is null");
    this.loop = requireNonNull(loop, "loop is null");
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
    this.term = proposer.term();
    long fencingToken = requireNonNull(fencingTokens, "fencingTokens is null").next(term);
    ControlState.WorkflowSnapshot snapshot = state.snapshotWorkflows();
    this.snapshotBatchNumber = snapshot.batchNumber();
    WorkflowTable table = new WorkflowTable();
    table.restore(snapshot.records());
    table.runTimes().restore(snapshot.runTimes());
    this.dispatcher =
        new Dispatcher(
            settings,
            state.catalog(),
            table,
            telemetry,
            monotonicMillis.getAsLong(),
            proposer.wallClockMillis());
    this.orderSender =
        new OrderSender(minionClient, fencingToken, dispatcher, loop, monotonicMillis);
    EventLogger.log(
        DispatchLogEvent.SESSION_STARTED, term, snapshot.records().size(), fencingToken);
  }

  long term() {
    return term;
  }

  boolean hasFailed() {
    return failed;
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  void handleApplied(Command command, CommandResult.WorkflowsApplied result) {
    if (result.batchNumber() > snapshotBatchNumber) {
      dispatcher.handleApplied(
          command.getWorkflows(),
          result.problems(),
          command.getTimeMillis(),
          monotonicMillis.getAsLong(),
          proposer.wallClockMillis());
    }
  }

  void advance() {
    long startNanos = System.nanoTime();
    long nowMillis = monotonicMillis.getAsLong();
    dispatcher.advance(nowMillis, proposer.wallClockMillis());
    telemetry.recordRound(System.nanoTime() - startNanos);
    if (nowMillis >= nextStatusMillis) {
      nextStatusMillis = nowMillis + STATUS_INTERVAL_MILLIS;
      telemetry.publish(dispatcher.status(nowMillis));
      telemetry.publishTeams(dispatcher.quotaQueries().status());
    }
    WorkflowBatch batch = dispatcher.takeProposals();
    while (batch.getEventsCount() > 0) {
      propose(batch);
      batch = dispatcher.takeProposals();
    }
    unsentOrders.addAll(dispatcher.takeOrders());
    sendOrders();
  }

  // A new session renews the leases of all minions. The first responses must not wait until the
  // last renewal is sent: they list the ends that callers wait for.
  private void sendOrders() {
    for (int i = 0; i < MAX_ORDERS_PER_ROUND && !unsentOrders.isEmpty(); i++) {
      // Checked before each order, because the process may have been paused since the last one.
      if (!proposer.holdsLease() || proposer.term() != term) {
        failed = true;
        return;
      }
      orderSender.send(unsentOrders.remove());
    }
  }

  /** Returns whether orders were left for the next call of {@link #advance}. */
  boolean hasUnsentOrders() {
    return !unsentOrders.isEmpty();
  }

  // The dispatcher assumes that its proposals are recorded. If one is not, its state is wrong and a
  // new session must rebuild it.
  private void propose(WorkflowBatch batch) {
    proposer
        .propose(Command.newBuilder().setWorkflows(batch))
        .thenAccept(
            result ->
                result
                    .problem()
                    .ifPresent(
                        problem -> {
                          EventLogger.log(DispatchLogEvent.PROPOSAL_FAILED, problem);
                          loop.execute(() -> failed = true);
                        }));
  }
}
