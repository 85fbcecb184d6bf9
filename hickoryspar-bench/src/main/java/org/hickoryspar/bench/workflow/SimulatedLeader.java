package org.hickoryspar.bench.workflow;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickoryspar.kernel.catalog.CatalogState;
import org.hickoryspar.kernel.dispatch.DispatchListener;
import org.hickoryspar.kernel.dispatch.DispatchSettings;
import org.hickoryspar.kernel.dispatch.Dispatcher;
import org.hickoryspar.kernel.dispatch.order.Order;
import org.hickoryspar.kernel.dispatch.order.OrderOutcome;
import org.hickoryspar.kernel.dispatch.order.RenewalResponse;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.workflow.WorkflowTable;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.WorkflowBatch;

/**
 * The leader of one term: a dispatcher whose orders and responses pass through the simulated
 * network. The term is the fencing token of the orders.
 */
final class SimulatedLeader {

  private static final long RESPONSE_TIMEOUT_MILLIS = 400;

  private final long term;
  private final Dispatcher dispatcher;
  private final SimulatedNetwork network;
  private final Map<String, SimulatedMinion> minions;
  private boolean active = true;
  private long decisionNanos;
  private long decisions;
  private long maxDecisionNanos;

  SimulatedLeader(
      long term,
      DispatchSettings settings,
      CatalogState catalog,
      WorkflowTable recorded,
      DispatchListener listener,
      SimulatedNetwork network,
      Map<String, SimulatedMinion> minions,
      long nowMillis) {
    this.term = term;
    this.network = network;
    this.minions = minions;
    WorkflowTable table = new WorkflowTable();
    table.restore(recorded.snapshot());
    table.runTimes().restore(recorded.runTimes().toRecord());
    this.dispatcher = new Dispatcher(settings, catalog, table, listener, nowMillis, nowMillis);
  }

  Dispatcher dispatcher() {
    return dispatcher;
  }

  long decisions() {
    return decisions;
  }

  long decisionNanos() {
    return decisionNanos;
  }

  long maxDecisionNanos() {
    return maxDecisionNanos;
  }

  /** Ends the term; the dispatcher receives no further responses and applied entries. */
  void stepDown() {
    active = false;
  }

  void handleApplied(WorkflowBatch batch, List<Optional<Problem>> problems, long nowMillis) {
    if (active) {
      dispatcher.handleApplied(batch, problems, nowMillis, nowMillis, nowMillis);
    }
  }

  /** Advances the dispatcher and sends its orders; returns its proposals. */
  WorkflowBatch advance(long nowMillis) {
    long startNanos = System.nanoTime();
    dispatcher.advance(nowMillis, nowMillis);
    WorkflowBatch proposals = dispatcher.takeProposals();
    long durationNanos = System.nanoTime() - startNanos;
    decisionNanos += durationNanos;
    maxDecisionNanos = Math.max(maxDecisionNanos, durationNanos);
    decisions++;
    dispatcher.takeOrders().forEach(order -> send(order, nowMillis));
    return proposals;
  }

  private void send(Order order, long nowMillis) {
    SimulatedMinion minion =
        requireNonNull(minions.get(order.target().life().getMinionId()), "unknown minion");
    if (network.delaysOrder() && !(order instanceof Order.Renew)) {
      long executionMillis = nowMillis + network.drawOrderDelayMillis();
      MinionLife life = minion.life();
      network.scheduleAt(
          executionMillis,
          () -> {
            // A delayed order is lost if the minion restarts.
            if (minion.life().equals(life)) {
              execute(minion, order, executionMillis);
            }
          });
      scheduleOutcome(order, OrderOutcome.UNKNOWN, nowMillis + RESPONSE_TIMEOUT_MILLIS);
      return;
    }
    long deliveryMillis = nowMillis + network.drawLatencyMillis();
    network.scheduleAt(deliveryMillis, () -> deliver(minion, order, nowMillis, deliveryMillis));
  }

  private void deliver(SimulatedMinion minion, Order order, long sentMillis, long nowMillis) {
    if (!minion.isUp() || network.isPartitioned(minion, nowMillis)) {
      scheduleTimeout(order, sentMillis);
    } else if (order instanceof Order.Renew renew) {
      deliver(minion, renew, sentMillis, nowMillis);
    } else {
      OrderOutcome outcome = execute(minion, order, nowMillis);
      if (network.losesResponse()) {
        scheduleTimeout(order, sentMillis);
      } else {
        scheduleOutcome(order, outcome, nowMillis + network.drawLatencyMillis());
      }
    }
  }

  private void scheduleTimeout(Order order, long sentMillis) {
    long waitMillis = order instanceof Order.Renew renew ? renew.waitMillis() : 0;
    long atMillis = sentMillis + waitMillis + RESPONSE_TIMEOUT_MILLIS;
    if (order instanceof Order.Renew renew) {
      MinionLife life = renew.target().life();
      network.scheduleAt(
          atMillis,
          () -> {
            if (active) {
              dispatcher.handleRenewalFailure(life, OrderOutcome.UNKNOWN, atMillis);
            }
          });
    } else {
      scheduleOutcome(order, OrderOutcome.UNKNOWN, atMillis);
    }
  }

  private OrderOutcome execute(SimulatedMinion minion, Order order, long nowMillis) {
    if (!minion.isUp()) {
      return OrderOutcome.UNKNOWN;
    }
    return order instanceof Order.Start start
        ? minion.start(start, term, nowMillis)
        : minion.stop(((Order.Stop) order).taskRun(), term, nowMillis);
  }

  private void scheduleOutcome(Order order, OrderOutcome outcome, long atMillis) {
    network.scheduleAt(
        atMillis,
        () -> {
          if (!active) {
            return;
          }
          if (order instanceof Order.Start start) {
            dispatcher.handleStartOutcome(start.taskRun(), outcome, atMillis);
          } else if (order instanceof Order.Stop stop) {
            dispatcher.handleStopOutcome(stop.taskRun(), outcome, atMillis);
          }
        });
  }

  private void deliver(SimulatedMinion minion, Order.Renew renew, long sentMillis, long nowMillis) {
    if (!minion.acceptsToken(term)) {
      network.scheduleAt(
          nowMillis + network.drawLatencyMillis(),
          () -> {
            if (active) {
              dispatcher.handleRenewalFailure(
                  renew.target().life(), OrderOutcome.FENCED, nowMillis);
            }
          });
      return;
    }
    minion.renew(renew, term, nowMillis);
    awaitEnd(minion, renew, sentMillis, nowMillis, nowMillis + renew.waitMillis());
  }

  // The minion holds back the response until a task ends or the wait of the renewal has passed.
  private void awaitEnd(
      SimulatedMinion minion,
      Order.Renew renew,
      long sentMillis,
      long nowMillis,
      long deadlineMillis) {
    if (!minion.isUp() || network.isPartitioned(minion, nowMillis)) {
      scheduleTimeout(renew, sentMillis);
      return;
    }
    if (!minion.hasUnacknowledgedEnds() && nowMillis < deadlineMillis) {
      network.scheduleAt(
          nowMillis + 1, () -> awaitEnd(minion, renew, sentMillis, nowMillis + 1, deadlineMillis));
      return;
    }
    RenewalResponse response = minion.renewalResponse(nowMillis);
    long atMillis = nowMillis + network.drawLatencyMillis();
    network.scheduleAt(
        atMillis,
        () -> {
          if (active) {
            dispatcher.handleRenewal(renew.target().life(), response, atMillis);
          }
        });
  }
}
