package org.hickoryspar.node.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.CompletableFuture;
import org.hickoryspar.kernel.dispatch.order.Order;
import org.hickoryspar.kernel.dispatch.order.OrderOutcome;
import org.hickoryspar.kernel.dispatch.order.RenewalResponse;
import org.hickoryspar.kernel.value.Result;
import org.hickoryspar.node.observability.StartSteps;

/** Records when the first minion responds and when the first start is sent. */
public final class StartStepsMinionClient implements MinionClient {

  private final MinionClient delegate;
  private final StartSteps steps;

  /**
   * Creates a client.
   *
   * @param delegate sends the orders
   * @param steps steps of the start of this process
   */
  public StartStepsMinionClient(MinionClient delegate, StartSteps steps) {
    this.delegate = requireNonNull(delegate, "delegate is null");
    this.steps = requireNonNull(steps, "steps is null");
  }

  @Override
  public CompletableFuture<Result<RenewalResponse>> renew(Order.Renew order, long fencingToken) {
    return delegate
        .renew(order, fencingToken)
        .whenComplete(
            (result, failure) -> {
              if (failure == null && result.isSuccess()) {
                steps.reach(StartSteps.Step.MINION_CONFIRMED);
              }
            });
  }

  @Override
  public CompletableFuture<OrderOutcome> start(Order.Start order, long fencingToken) {
    steps.reach(StartSteps.Step.START_SENT);
    return delegate.start(order, fencingToken);
  }

  @Override
  public CompletableFuture<OrderOutcome> stop(Order.Stop order, long fencingToken) {
    return delegate.stop(order, fencingToken);
  }
}
