package org.hickoryspar.node.dispatch;

import java.util.concurrent.CompletableFuture;
import org.hickoryspar.kernel.dispatch.order.Order;
import org.hickoryspar.kernel.dispatch.order.OrderOutcome;
import org.hickoryspar.kernel.dispatch.order.RenewalResponse;
import org.hickoryspar.kernel.value.Result;

/** Sends no order, so that no minion ever responds. */
public final class SilentMinionClient implements MinionClient {

  @Override
  public CompletableFuture<Result<RenewalResponse>> renew(Order.Renew order, long fencingToken) {
    return new CompletableFuture<>();
  }

  @Override
  public CompletableFuture<OrderOutcome> start(Order.Start order, long fencingToken) {
    return new CompletableFuture<>();
  }

  @Override
  public CompletableFuture<OrderOutcome> stop(Order.Stop order, long fencingToken) {
    return new CompletableFuture<>();
  }
}
