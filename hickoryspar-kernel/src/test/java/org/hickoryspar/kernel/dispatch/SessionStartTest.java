package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.hickoryspar.kernel.dispatch.order.Order;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.WorkflowBatch;
import org.hickoryspar.protocol.WorkflowState;
import org.testng.annotations.Test;

/** The order of steps after a loss of all control daemons, when a new leader takes over. */
public class SessionStartTest {

  private static final int MINIONS = 20;

  /**
   * Guards against callers that wait for ends which the minions have long listed, while the new
   * leader renews the leases of idle minions.
   */
  @Test
  void shouldRenewMinionsWithRecordedRunsFirstWhenALeaderIsNew() {
    DispatcherHarness harness = DispatcherHarness.withMinions(MINIONS, "r1");
    harness.submit("w", 1, DispatcherHarness.step(3, 8));
    harness.advanceTime(200);
    List<String> busy = harness.minionsOf("w");
    assertEquals(busy.size(), 3, busy.toString());

    harness.changeLeader();
    List<Order> orders = harness.orderOnly();

    assertEquals(orders.size(), MINIONS, orders.toString());
    for (Order order : orders.subList(0, busy.size())) {
      assertTrue(order instanceof Order.Renew, order.toString());
      assertTrue(busy.contains(order.target().life().getMinionId()), order.toString());
    }
  }

  /** Guards against ends and new starts that wait for minions which do not respond. */
  @Test
  void shouldNoteEndsInOneBatchAndStartNewWorkWhenAMinionIsSilent() {
    DispatcherHarness harness = new DispatcherHarness();
    harness.addMinions(4, "r1");
    FakeMinion silent = harness.addMinion("silent", "r1");
    harness.advanceTime(100);
    silent.setReachable(false);
    harness.advanceTime(2_000);
    harness.submit("ended", 1, DispatcherHarness.step(4, 8));
    harness.advanceTime(200);
    harness.endAllTasks("ended", RunEnd.Cause.DONE);

    harness.changeLeader();
    harness.submit("next", 1, DispatcherHarness.step(4, 8));
    harness.exchangeOrders();
    WorkflowBatch batch = harness.proposeOnly();
    long ends = batch.getEventsList().stream().filter(event -> event.hasRunEnd()).count();
    harness.apply(batch);
    harness.advanceTime(100);

    assertEquals(ends, 4, batch.toString());
    assertEquals(harness.find("ended").state(), WorkflowState.WORKFLOW_COMPLETED);
    assertEquals(harness.minionsOf("next").size(), 4);
  }
}
