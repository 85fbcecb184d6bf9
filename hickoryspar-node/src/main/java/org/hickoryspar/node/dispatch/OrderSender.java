package org.hickoryspar.node.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.hickoryspar.kernel.dispatch.Dispatcher;
import org.hickoryspar.kernel.dispatch.order.Order;
import org.hickoryspar.kernel.dispatch.order.OrderOutcome;
import org.hickoryspar.kernel.dispatch.order.RenewalResponse;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.observability.EventLogger;

/**
 * Sends the orders of a dispatcher to the minions and passes the outcomes back to it on the thread
 * of the dispatch loop. An order that cannot be sent counts as unanswered, so that one minion does
 * not affect the others.
 */
final class OrderSender {

  private final MinionClient minionClient;
  private final long fencingToken;
  private final Dispatcher dispatcher;
  private final Executor loop;
  private final LongSupplier monotonicMillis;

  OrderSender(
      MinionClient minionClient,
      long fencingToken,
      Dispatcher dispatcher,
      Executor loop,
      LongSupplier monotonicMillis) {
    this.minionClient = requireNonNull(minionClient, "minionClient is null");
    this.fencingToken = fencingToken;
    this.dispatcher = requireNonNull(dispatcher, "dispatcher is null");
    this.loop = requireNonNull(loop, "loop is null");
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
  }

  void send(Order order) {
    if (order instanceof Order.Renew renew) {
      Result<RenewalResponse> unknown =
          Result.failure(OrderOutcome.UNKNOWN.name(), "the order could not be sent");
      guard(order, () -> minionClient.renew(renew, fencingToken), unknown)
          .thenAccept(result -> loop.execute(() -> handleRenewalResult(renew, result)));
    } else if (order instanceof Order.Start start) {
      guard(order, () -> minionClient.start(start, fencingToken), OrderOutcome.UNKNOWN)
          .thenAccept(outcome -> loop.execute(() -> handleStartOutcome(start, outcome)));
    } else if (order instanceof Order.Stop stop) {
      guard(order, () -> minionClient.stop(stop, fencingToken), OrderOutcome.UNKNOWN)
          .thenAccept(outcome -> loop.execute(() -> handleStopOutcome(stop, outcome)));
    }
  }

  private static <T> CompletableFuture<T> guard(
      Order order, Supplier<CompletableFuture<T>> call, T unknown) {
    CompletableFuture<T> result;
    try {
      result = call.get();
    } catch (RuntimeException e) {
      result = CompletableFuture.failedFuture(e);
    }
    return result.exceptionally(
        failure -> {
          String minionId = order.target().life().getMinionId();
          EventLogger.log(DispatchLogEvent.ORDER_FAILED, failure, minionId);
          return unknown;
        });
  }

  private void handleRenewalResult(Order.Renew order, Result<RenewalResponse> result) {
    long nowMillis = monotonicMillis.getAsLong();
    result
        .problem()
        .map(Problem::code)
        .map(OrderOutcome::valueOf)
        .ifPresentOrElse(
            outcome -> dispatcher.handleRenewalFailure(order.target().life(), outcome, nowMillis),
            () ->
                dispatcher.handleRenewal(
                    order.target().life(),
                    result.getOrElseThrow(problem -> new IllegalStateException(problem.message())),
                    nowMillis));
  }

  private void handleStartOutcome(Order.Start order, OrderOutcome outcome) {
    dispatcher.handleStartOutcome(order.taskRun(), outcome, monotonicMillis.getAsLong());
  }

  private void handleStopOutcome(Order.Stop order, OrderOutcome outcome) {
    dispatcher.handleStopOutcome(order.taskRun(), outcome, monotonicMillis.getAsLong());
  }
}
