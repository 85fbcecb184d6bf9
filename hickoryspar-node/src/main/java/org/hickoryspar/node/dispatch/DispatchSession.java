package org.hickoryspar.node.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.hickoryspar.kernel.control.CommandResult;
import org.hickoryspar.kernel.control.ControlState;
import org.hickoryspar.kernel.dispatch.DispatchSettings;
import org.hickoryspar.kernel.dispatch.Dispatcher;
import org.hickoryspar.kernel.dispatch.Order;
import org.hickoryspar.kernel.dispatch.OrderOutcome;
import org.hickoryspar.kernel.dispatch.RenewalResponse;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.kernel.workflow.WorkflowTable;
import org.hickoryspar.node.control.Proposer;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.protocol.Command;
import org.hickoryspar.protocol.WorkflowBatch;

/** A dispatcher and its connections to the log and the minions within one term; one thread. */
final class DispatchSession {

  private static final long STATUS_EVERY_MILLIS = 1_000;

  private final Proposer proposer;
  private final MinionClient minions;
  private final Executor loop;
  private final LongSupplier monotonicMillis;
  private final long term;
  private final long fencingToken;
  private final long includedBatch;
  private final Dispatcher dispatcher;
  private final DecisionTelemetry telemetry;
  private long nextStatusMillis;
  private boolean failed;

  DispatchSession(
      ControlState state,
      Proposer proposer,
      FencingTokens tokens,
      MinionClient minions,
      DispatchSettings settings,
      DecisionTelemetry telemetry,
      Executor loop,
      LongSupplier monotonicMillis) {
    this.telemetry = requireNonNull(telemetry, "telemetry is null");
    this.proposer = requireNonNull(proposer, "proposer is null");
    this.minions = requireNonNull(minions, "minions is null");
    this.loop = requireNonNull(loop, "loop is null");
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
    this.term = proposer.term();
    this.fencingToken = requireNonNull(tokens, "tokens is null").next(term);
    ControlState.WorkflowSnapshot snapshot = state.snapshotWorkflows();
    this.includedBatch = snapshot.batchNumber();
    WorkflowTable table = new WorkflowTable();
    table.restore(snapshot.records());
    this.dispatcher =
        new Dispatcher(
            settings,
            state.catalog(),
            table,
            telemetry,
            monotonicMillis.getAsLong(),
            proposer.wallClockMillis());
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

  void applied(Command command, CommandResult.WorkflowsApplied result) {
    if (result.batchNumber() > includedBatch) {
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
    long now = monotonicMillis.getAsLong();
    dispatcher.advance(now, proposer.wallClockMillis());
    telemetry.decided(System.nanoTime() - startNanos);
    if (now >= nextStatusMillis) {
      nextStatusMillis = now + STATUS_EVERY_MILLIS;
      telemetry.publish(dispatcher.status(now));
    }
    WorkflowBatch batch = dispatcher.takeProposals();
    if (batch.getEventsCount() > 0) {
      propose(batch);
    }
    List<Order> orders = dispatcher.takeOrders();
    for (Order order : orders) {
      // Checked before each order: the process may have been paused since the last one.
      if (!proposer.holdsLease() || proposer.term() != term) {
        failed = true;
        return;
      }
      send(order);
    }
  }

  // What was proposed counts as decided in the dispatcher; if it does not get recorded, the
  // dispatcher is wrong and has to be built again.
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

  private void send(Order order) {
    if (order instanceof Order.Renew renew) {
      minions
          .renew(renew, fencingToken)
          .thenAccept(answer -> loop.execute(() -> renewed(renew, answer)));
    } else if (order instanceof Order.Start start) {
      minions
          .start(start, fencingToken)
          .thenAccept(
              outcome ->
                  loop.execute(
                      () ->
                          dispatcher.handleStartOutcome(
                              start.taskRun(), outcome, monotonicMillis.getAsLong())));
    } else if (order instanceof Order.Stop stop) {
      minions
          .stop(stop, fencingToken)
          .thenAccept(
              outcome ->
                  loop.execute(
                      () ->
                          dispatcher.handleStopOutcome(
                              stop.taskRun(), outcome, monotonicMillis.getAsLong())));
    }
  }

  private void renewed(Order.Renew order, Result<RenewalResponse> result) {
    long now = monotonicMillis.getAsLong();
    Optional<RenewalResponse> answer = result.fold(problem -> Optional.empty(), Optional::of);
    if (answer.isPresent()) {
      dispatcher.handleRenewal(order.target().life(), answer.get(), now);
    } else {
      String code = result.problem().orElseThrow().code();
      dispatcher.handleRenewalFailure(order.target().life(), OrderOutcome.valueOf(code), now);
    }
  }
}
