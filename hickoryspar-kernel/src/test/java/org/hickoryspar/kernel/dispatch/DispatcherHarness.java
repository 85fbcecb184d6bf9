package org.hickoryspar.kernel.dispatch;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.hickoryspar.kernel.catalog.CatalogState;
import org.hickoryspar.kernel.dispatch.order.Order;
import org.hickoryspar.kernel.dispatch.order.OrderOutcome;
import org.hickoryspar.kernel.dispatch.order.TaskRun;
import org.hickoryspar.kernel.runtime.RunTimeSource;
import org.hickoryspar.kernel.runtime.RunTimeTable;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.kernel.workflow.WorkflowTable;
import org.hickoryspar.protocol.CancelWorkflow;
import org.hickoryspar.protocol.Catalog;
import org.hickoryspar.protocol.CatalogChange;
import org.hickoryspar.protocol.DataCentreSwitch;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.MinionReport;
import org.hickoryspar.protocol.MinionReports;
import org.hickoryspar.protocol.MinionReportsReply;
import org.hickoryspar.protocol.Queue;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.ServicePolicy;
import org.hickoryspar.protocol.SubmitWorkflow;
import org.hickoryspar.protocol.TaskDemand;
import org.hickoryspar.protocol.TeamEntitlement;
import org.hickoryspar.protocol.WorkflowBatch;
import org.hickoryspar.protocol.WorkflowEvent;
import org.hickoryspar.protocol.WorkflowSpec;
import org.hickoryspar.protocol.WorkflowStep;
import org.jspecify.annotations.Nullable;

/**
 * Runs a dispatcher with a replicated log that records immediately and with fake minions that carry
 * out orders while they are reachable. Time advances in ticks of 10 ms.
 */
final class DispatcherHarness {

  static final String SERVICE = "service";

  /** A service to which no queue is sent at first. */
  static final String OTHER_SERVICE = "other-service";

  static final int TICK_MILLIS = 10;

  static final DispatchSettings SETTINGS =
      new DispatchSettings(
          4_500,
          6_000,
          1_000,
          300,
          1_500,
          400,
          4_000,
          3,
          2_900,
          120_000,
          100,
          0,
          RunTimeSource.LEARNED);

  private final CatalogState catalog = new CatalogState();
  private final WorkflowTable table = new WorkflowTable();
  private final Map<String, FakeMinion> minions = new LinkedHashMap<>();
  private final List<String> events = new ArrayList<>();
  private Dispatcher dispatcher;
  private long nowMillis = 1_000;

  DispatcherHarness() {
    Catalog.Builder initialCatalog =
        Catalog.newBuilder()
            .setVersion(1)
            .addServices(ServicePolicy.newBuilder().setName(SERVICE))
            .addServices(ServicePolicy.newBuilder().setName(OTHER_SERVICE))
            .addTeams(TeamEntitlement.newBuilder().setName("team").setGuaranteedAccelerators(16));
    for (int priority = 0; priority < 3; priority++) {
      initialCatalog.addQueues(queue(priority));
    }
    catalog.apply(CatalogChange.newBuilder().setCatalog(initialCatalog).build());
    dispatcher = newDispatcher();
  }

  /** Returns a harness with minions of one rack that have reported and hold a lease. */
  static DispatcherHarness withMinions(int count, String rack) {
    DispatcherHarness harness = new DispatcherHarness();
    harness.addMinions(count, rack);
    harness.advanceTime(100);
    return harness;
  }

  private Dispatcher newDispatcher() {
    return new Dispatcher(
        SETTINGS,
        catalog,
        table,
        (kind, subject, details) -> events.add(kind + " " + subject + ' ' + List.of(details)),
        nowMillis,
        nowMillis);
  }

  static Queue queue(int priority) {
    return Queue.newBuilder()
        .setName("queue-" + priority)
        .setHost("host")
        .setPathPrefix("/p" + priority + '/')
        .setService(SERVICE)
        .setPriority(priority)
        .setMaxAttempts(3)
        .setStretch(priority == 0 ? 1.5 : 3)
        .setTargetCompletionMillis(500)
        .setTimeoutMillis(3_000)
        .build();
  }

  /** Returns a step of single tasks with a demand of accelerators; a fake minion has 8. */
  static WorkflowStep.Builder step(int tasks, int accelerators) {
    return WorkflowStep.newBuilder()
        .setTasks(tasks)
        .setEstimatedMillis(5_000)
        .setDemand(
            TaskDemand.newBuilder()
                .setCpuMillicores(1_000)
                .setMemoryMegabytes(1_000)
                .setAccelerators(accelerators));
  }

  static WorkflowStep.Builder gang(int tasks, int accelerators) {
    return step(tasks, accelerators).setGang(true).setSameRack(true);
  }

  // -- events

  FakeMinion addMinion(String id, String rack) {
    FakeMinion minion = new FakeMinion(id, rack, nowMillis);
    minions.put(id, minion);
    dispatcher.handleReport(minion.report(nowMillis), nowMillis);
    return minion;
  }

  FakeMinion addMinion(String id, String rack, String service) {
    FakeMinion minion = new FakeMinion(id, rack, nowMillis);
    minion.setService(service);
    minions.put(id, minion);
    report(minion);
    return minion;
  }

  /** Adds a minion that carries out orders and has not reported to the dispatcher. */
  void connect(FakeMinion minion) {
    minions.put(minion.id(), minion);
  }

  /** Passes a message of a control daemon to the dispatcher. */
  MinionReportsReply handleReports(MinionReports message) {
    return dispatcher.handleReports(message, nowMillis);
  }

  /** Replaces the dispatcher by one to which no minion has reported. */
  void startSession() {
    dispatcher = newDispatcher();
  }

  int usableMinions() {
    return dispatcher.status(nowMillis).usableMinions();
  }

  long longestIdleWaitMillis() {
    return dispatcher.status(nowMillis).longestIdleWaitMillis();
  }

  void addMinions(int count, String rack) {
    for (int i = 0; i < count; i++) {
      addMinion(rack + "-" + i, rack);
    }
  }

  /** Passes a report to the dispatcher, which may be from anyone. */
  void report(MinionReport report) {
    dispatcher.handleReport(report, nowMillis);
  }

  void report(FakeMinion minion) {
    dispatcher.handleReport(minion.report(nowMillis), nowMillis);
  }

  void leave(MinionLife life) {
    dispatcher.handleLeave(life, nowMillis);
  }

  void takeDataCentreOut(String dataCentre) {
    catalog.apply(DataCentreSwitch.newBuilder().setDataCentre(dataCentre).setOut(true).build());
  }

  void returnDataCentre(String dataCentre) {
    catalog.apply(DataCentreSwitch.newBuilder().setDataCentre(dataCentre).setOut(false).build());
  }

  /** Applies a catalog with other queues; the dispatcher gets no event of it. */
  void replaceQueues(Queue... queues) {
    Catalog.Builder changed = catalog.lastChange().getCatalog().toBuilder();
    changed.setVersion(changed.getVersion() + 1).clearQueues().addAllQueues(List.of(queues));
    Optional<Problem> problem =
        catalog.apply(CatalogChange.newBuilder().setCatalog(changed).build());
    problem.ifPresent(
        reason -> {
          throw new AssertionError(reason);
        });
  }

  /** Applies a catalog in which a team has another quota; the team is added if it is new. */
  void setQuota(String team, TaskDemand.Builder quota) {
    Catalog.Builder changed = catalog.lastChange().getCatalog().toBuilder();
    int index = 0;
    while (index < changed.getTeamsCount() && !changed.getTeams(index).getName().equals(team)) {
      index++;
    }
    if (index == changed.getTeamsCount()) {
      changed.addTeams(TeamEntitlement.newBuilder().setName(team));
    }
    changed.getTeamsBuilder(index).setQuota(quota);
    changed.setVersion(changed.getVersion() + 1);
    catalog
        .apply(CatalogChange.newBuilder().setCatalog(changed).build())
        .ifPresent(
            reason -> {
              throw new AssertionError(reason);
            });
  }

  /** Applies a catalog that names one more service. */
  void addService(String service) {
    Catalog.Builder changed = catalog.lastChange().getCatalog().toBuilder();
    changed
        .setVersion(changed.getVersion() + 1)
        .addServices(ServicePolicy.newBuilder().setName(service));
    assertEquals(
        catalog.apply(CatalogChange.newBuilder().setCatalog(changed).build()), Optional.empty());
  }

  QuotaQueries quotaQueries() {
    return dispatcher.quotaQueries();
  }

  /** Adds a team of a weight and without a guarantee to the catalog. */
  void addTeam(String team, double weight) {
    Catalog.Builder changed = catalog.lastChange().getCatalog().toBuilder();
    changed
        .setVersion(changed.getVersion() + 1)
        .addTeams(TeamEntitlement.newBuilder().setName(team).setWeight(weight));
    assertEquals(
        catalog.apply(CatalogChange.newBuilder().setCatalog(changed).build()), Optional.empty());
  }

  Workflow submit(String id, int priority, WorkflowStep.Builder... steps) {
    return submitFor("team", id, priority, steps);
  }

  /** Submits a workflow of a team; only "team" has a guarantee. */
  Workflow submitFor(String team, String id, int priority, WorkflowStep.Builder... steps) {
    WorkflowSpec.Builder spec = WorkflowSpec.newBuilder().setPayload("payload");
    for (WorkflowStep.Builder step : steps) {
      spec.addSteps(step);
    }
    apply(
        WorkflowBatch.newBuilder()
            .addEvents(
                WorkflowEvent.newBuilder()
                    .setSubmit(
                        SubmitWorkflow.newBuilder()
                            .setWorkflowId(id)
                            .setTeam(team)
                            .setQueue(queue(priority))
                            .setSpec(spec)))
            .build());
    return table.find(id).orElseThrow();
  }

  /** Ends all running tasks of a workflow. */
  void endAllTasks(String workflowId, RunEnd.Cause cause) {
    for (FakeMinion minion : minions.values()) {
      minion.running().stream()
          .filter(run -> run.workflowId().equals(workflowId))
          .forEach(run -> minion.endTask(run, cause));
    }
  }

  /** Ends one task of a workflow; returns the minion on which it ran. */
  String endTask(String workflowId, int task, RunEnd.Cause cause) {
    for (FakeMinion minion : minions.values()) {
      for (TaskRun run : minion.running()) {
        if (run.workflowId().equals(workflowId) && run.task() == task) {
          minion.endTask(run, cause);
          return minion.id();
        }
      }
    }
    throw new AssertionError("task " + task + " of " + workflowId + " does not run");
  }

  void cancel(String id) {
    apply(
        WorkflowBatch.newBuilder()
            .addEvents(
                WorkflowEvent.newBuilder().setCancel(CancelWorkflow.newBuilder().setWorkflowId(id)))
            .build());
  }

  /** Replaces the dispatcher by that of a new leader, to which all reachable minions report. */
  void changeLeader() {
    dispatcher = newDispatcher();
    minions.values().stream().filter(FakeMinion::isReachable).forEach(this::report);
  }

  /** Replaces the dispatcher by that of a new leader that receives only stale reports. */
  void changeLeaderWithStaleReports() {
    dispatcher = newDispatcher();
    for (FakeMinion minion : minions.values()) {
      MinionReport staleReport =
          minion.report(nowMillis).toBuilder().setAgeMillis(60_000).clearClockMillis().build();
      dispatcher.handleReport(staleReport, nowMillis);
    }
  }

  /** Advances the dispatcher once; returns its proposals without recording them. */
  WorkflowBatch proposeOnly() {
    dispatcher.advance(nowMillis, nowMillis);
    return dispatcher.takeProposals();
  }

  /** Advances the dispatcher once; returns its orders without sending them. */
  List<Order> orderOnly() {
    dispatcher.advance(nowMillis, nowMillis);
    return dispatcher.takeOrders();
  }

  /** Advances the dispatcher once; the minions respond at once and nothing is recorded. */
  void exchangeOrders() {
    orderOnly().forEach(this::execute);
    minions.values().forEach(this::respondToRenewal);
  }

  /** Advances the clock without any event. */
  void passTime(long millis) {
    nowMillis += millis;
  }

  Workflow find(String workflowId) {
    return dispatcher.find(workflowId).orElseThrow();
  }

  void advanceTime(long millis) {
    for (long endMillis = nowMillis + millis; nowMillis < endMillis; nowMillis += TICK_MILLIS) {
      minions.values().forEach(this::respondToRenewal);
      dispatcher.advance(nowMillis, nowMillis);
      apply(dispatcher.takeProposals());
      dispatcher.takeOrders().forEach(this::execute);
    }
  }

  /** Records a batch and passes it to the current dispatcher. */
  void apply(WorkflowBatch batch) {
    if (batch.getEventsCount() > 0) {
      List<Optional<Problem>> problems = noProblems(batch);
      dispatcher.handleApplied(batch, problems, nowMillis, nowMillis, nowMillis);
    }
  }

  // The dispatcher applies the batch to the table that it shares with this harness.
  private static List<Optional<Problem>> noProblems(WorkflowBatch batch) {
    return batch.getEventsList().stream().map(event -> Optional.<Problem>empty()).toList();
  }

  private void execute(Order order) {
    FakeMinion minion = findByAddress(order.target().address());
    if (minion == null || !minion.isReachable()) {
      failOrder(order, OrderOutcome.UNKNOWN);
    } else if (!minion.id().equals(order.target().life().getMinionId())) {
      failOrder(order, OrderOutcome.OTHER_MINION);
    } else if (order instanceof Order.Renew renew) {
      minion.renew(renew, nowMillis);
    } else if (order instanceof Order.Start start) {
      dispatcher.handleStartOutcome(start.taskRun(), minion.start(start), nowMillis);
    } else if (order instanceof Order.Stop stop) {
      dispatcher.handleStopOutcome(stop.taskRun(), minion.stop(stop.taskRun()), nowMillis);
    }
  }

  private @Nullable FakeMinion findByAddress(String address) {
    return minions.values().stream()
        .filter(minion -> minion.address().equals(address))
        .findFirst()
        .orElse(null);
  }

  private void failOrder(Order order, OrderOutcome outcome) {
    if (order instanceof Order.Renew renew) {
      dispatcher.handleRenewalFailure(renew.target().life(), outcome, nowMillis);
    } else if (order instanceof Order.Start start) {
      dispatcher.handleStartOutcome(start.taskRun(), outcome, nowMillis);
    } else if (order instanceof Order.Stop stop) {
      dispatcher.handleStopOutcome(stop.taskRun(), outcome, nowMillis);
    }
  }

  private void respondToRenewal(FakeMinion minion) {
    minion.takeLostRenewals().forEach(order -> failOrder(order, OrderOutcome.UNKNOWN));
    minion
        .takeDueRenewals(nowMillis)
        .forEach(
            renewal ->
                dispatcher.handleRenewal(
                    renewal.target().life(), minion.response(renewal, nowMillis), nowMillis));
  }

  // -- queries

  /** Returns what the finished runs tell of run times, shared by all leaders. */
  RunTimeTable runTimes() {
    return table.runTimes();
  }

  long nowMillis() {
    return nowMillis;
  }

  List<String> events() {
    return events;
  }

  /** Counts the events that contain all of some texts. */
  long countEvents(String... texts) {
    return events.stream().filter(event -> Stream.of(texts).allMatch(event::contains)).count();
  }

  /** Returns whether a task of a workflow runs on a minion. */
  boolean isRunning(String workflowId, int task) {
    return minions.values().stream()
        .flatMap(minion -> minion.running().stream())
        .anyMatch(run -> run.workflowId().equals(workflowId) && run.task() == task);
  }

  /** Returns the identifier of the minion of each running task of a workflow. */
  List<String> minionsOf(String workflowId) {
    List<String> minionIds = new ArrayList<>();
    for (FakeMinion minion : minions.values()) {
      minion.running().stream()
          .filter(run -> run.workflowId().equals(workflowId))
          .forEach(run -> minionIds.add(minion.id()));
    }
    return minionIds;
  }
}
