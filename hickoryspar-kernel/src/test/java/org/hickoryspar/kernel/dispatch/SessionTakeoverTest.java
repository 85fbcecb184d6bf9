package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.hickoryspar.kernel.catalog.CatalogState;
import org.hickoryspar.kernel.dispatch.order.Order;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.kernel.workflow.WorkflowTable;
import org.hickoryspar.protocol.Catalog;
import org.hickoryspar.protocol.CatalogChange;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.ServicePolicy;
import org.hickoryspar.protocol.SubmitWorkflow;
import org.hickoryspar.protocol.WorkflowBatch;
import org.hickoryspar.protocol.WorkflowEvent;
import org.hickoryspar.protocol.WorkflowSpec;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Proposals that are recorded late: after another dispatcher or another life has taken over. */
public class SessionTakeoverTest {

  private final CatalogState catalog = new CatalogState();
  private WorkflowTable recorded;
  private Dispatcher dispatcher;
  private FakeMinion first;
  private FakeMinion second;
  private long nowMillis;

  @BeforeMethod
  void setUp() {
    nowMillis = 1_000;
    catalog.apply(
        CatalogChange.newBuilder()
            .setCatalog(
                Catalog.newBuilder()
                    .setVersion(catalog.view().version() + 1)
                    .addServices(ServicePolicy.newBuilder().setName(DispatcherHarness.SERVICE))
                    .addQueues(DispatcherHarness.queue(1)))
            .build());
    recorded = new WorkflowTable();
    first = new FakeMinion("m1", "r1", nowMillis);
    second = new FakeMinion("m2", "r1", nowMillis);
    startSession();
    record(submission());
  }

  /** Guards against a task that is never placed again because its recorded run has no member. */
  @Test
  void shouldPlaceTaskAgainWhenEarlierSessionRecordedItsStart() {
    WorkflowBatch earlierStart = placeOn(first);
    startSession();
    WorkflowBatch ownStart = placeOn(second);

    record(earlierStart);
    List<Order> orders = advance();
    record(ownStart);
    report(first);
    respondToRenewals(first, advance());
    record(proposals());
    advance();
    WorkflowBatch nextStart = proposals();

    assertTrue(startsOf(orders).isEmpty(), orders.toString());
    assertEquals(nextStart.getEventsCount(), 1, nextStart.toString());
    assertEquals(nextStart.getEvents(0).getRunStart().getRun(), 2);
  }

  /** Guards against a task that runs again after its end was acknowledged and then forgotten. */
  @Test
  void shouldNotAcknowledgeEndWhenBatchOfEarlierSessionIsRecorded() {
    WorkflowBatch start = placeOn(first);
    record(start);
    Order.Start order = startsOf(advance()).get(0);
    first.start(order);
    startSession();
    first.endTask(order.taskRun(), RunEnd.Cause.DONE);
    report(first);
    respondToRenewals(first, advance());
    WorkflowBatch end = proposals();

    dispatcher.handleApplied(
        WorkflowBatch.newBuilder().setDispatchNumber(start.getDispatchNumber()).build(),
        List.of(),
        nowMillis,
        nowMillis,
        nowMillis);
    List<Order> beforeRecord = advance();
    record(end);
    List<Order> afterRecord = advance();

    assertEquals(end.getEvents(0).getRunEnd().getCause(), RunEnd.Cause.DONE);
    assertTrue(beforeRecord.isEmpty(), beforeRecord.toString());
    assertEquals(((Order.Renew) afterRecord.get(0)).recordedEndNumber(), 1);
  }

  /** Guards against a lease that is never known to have expired, on a clock that was unknown. */
  @Test
  void shouldNotSendStartWhenClockOfNewLifeIsUnknown() {
    WorkflowBatch start = placeOn(first);
    List<Order> renewals = advance();
    first.restart(nowMillis);
    respondToRenewals(first, renewals);
    record(start);
    List<Order> clockUnknown = advance();
    respondToRenewals(first, clockUnknown);
    List<Order> clockKnown = advance();

    assertTrue(startsOf(clockUnknown).isEmpty(), clockUnknown.toString());
    long latestMillis =
        first.clockMillis(nowMillis) + DispatcherHarness.SETTINGS.startValidityMillis();
    assertTrue(startsOf(clockKnown).get(0).deadlineMillis() <= latestMillis);
  }

  private static WorkflowBatch submission() {
    return WorkflowBatch.newBuilder()
        .addEvents(
            WorkflowEvent.newBuilder()
                .setSubmit(
                    SubmitWorkflow.newBuilder()
                        .setWorkflowId("w")
                        .setTeam("team")
                        .setQueue(DispatcherHarness.queue(1))
                        .setSpec(
                            WorkflowSpec.newBuilder()
                                .setPayload("payload")
                                .addSteps(DispatcherHarness.step(1, 1)))))
        .build();
  }

  private void startSession() {
    nowMillis += DispatcherHarness.TICK_MILLIS;
    WorkflowTable table = new WorkflowTable();
    table.restore(recorded.snapshot());
    dispatcher =
        new Dispatcher(
            DispatcherHarness.SETTINGS,
            catalog,
            table,
            (kind, subject, details) -> {},
            nowMillis,
            nowMillis);
  }

  /** Lets a minion report and respond; returns the proposed start of the task on it. */
  private WorkflowBatch placeOn(FakeMinion minion) {
    report(minion);
    respondToRenewals(minion, advance());
    WorkflowBatch start = proposals();
    Workflow workflow = recorded.find("w").orElseThrow();
    assertEquals(start.getEvents(0).getRunStart().getWorkflowId(), workflow.id());
    assertEquals(start.getEvents(0).getRunStart().getMinions(0), minion.life());
    return start;
  }

  private void report(FakeMinion minion) {
    dispatcher.handleReport(minion.report(nowMillis), nowMillis);
  }

  private void respondToRenewals(FakeMinion minion, List<Order> orders) {
    for (Order order : orders) {
      if (order instanceof Order.Renew renew
          && renew.target().life().getMinionId().equals(minion.id())) {
        dispatcher.handleRenewal(
            renew.target().life(), minion.response(renew, nowMillis), nowMillis);
      }
    }
  }

  private List<Order> advance() {
    nowMillis += DispatcherHarness.TICK_MILLIS;
    dispatcher.advance(nowMillis, nowMillis);
    return dispatcher.takeOrders();
  }

  private WorkflowBatch proposals() {
    nowMillis += DispatcherHarness.TICK_MILLIS;
    dispatcher.advance(nowMillis, nowMillis);
    return dispatcher.takeProposals();
  }

  private void record(WorkflowBatch batch) {
    List<Optional<Problem>> problems = recorded.apply(batch, nowMillis);
    dispatcher.handleApplied(batch, problems, nowMillis, nowMillis, nowMillis);
  }

  private static List<Order.Start> startsOf(List<Order> orders) {
    return orders.stream()
        .filter(Order.Start.class::isInstance)
        .map(Order.Start.class::cast)
        .toList();
  }
}
