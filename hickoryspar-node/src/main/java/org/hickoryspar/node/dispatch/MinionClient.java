package org.hickoryspar.node.dispatch;

import java.util.concurrent.CompletableFuture;
import org.hickoryspar.kernel.dispatch.order.Order;
import org.hickoryspar.kernel.dispatch.order.OrderOutcome;
import org.hickoryspar.kernel.dispatch.order.RenewalResponse;
import org.hickoryspar.kernel.value.Result;

/** Sends orders to minions. No method blocks, and no future completes exceptionally. */
public interface MinionClient {

  /**
   * Renews the lease of a minion.
   *
   * @param order the renewal
   * @param fencingToken token of the session; a minion rejects a token lower than one it has seen
   * @return the response of the minion, or a failure whose code is the name of an {@link
   *     OrderOutcome}
   */
  CompletableFuture<Result<RenewalResponse>> renew(Order.Renew order, long fencingToken);

  /**
   * Starts a task.
   *
   * @param order the start
   * @param fencingToken token of the session
   * @return the outcome of the order
   */
  CompletableFuture<OrderOutcome> start(Order.Start order, long fencingToken);

  /**
   * Stops a run.
   *
   * @param order the stop
   * @param fencingToken token of the session
   * @return the outcome of the order
   */
  CompletableFuture<OrderOutcome> stop(Order.Stop order, long fencingToken);
}
