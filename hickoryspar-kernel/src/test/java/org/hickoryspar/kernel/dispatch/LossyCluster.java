package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.hickoryspar.kernel.catalog.CatalogState;
import org.hickoryspar.kernel.dispatch.order.Order;
import org.hickoryspar.kernel.dispatch.order.OrderOutcome;
import org.hickoryspar.kernel.dispatch.order.RenewalResponse;
import org.hickoryspar.kernel.dispatch.order.TaskRun;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.workflow.WorkflowTable;
import org.hickoryspar.protocol.Catalog;
import org.hickoryspar.protocol.CatalogChange;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.MinionReport;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.ServicePolicy;
import org.hickoryspar.protocol.TaskDemand;
import org.hickoryspar.protocol.TeamEntitlement;
import org.hickoryspar.protocol.WorkflowBatch;
import org.hickoryspar.protocol.WorkflowStep;

/**
 * Runs dispatchers over a replicated log that records with a delay, and model minions to which
 * orders arrive late, twice or not at all while links are lossy. Checks in each tick that no task
 * runs twice. Time advances in ticks of 10 ms.
 */
final class LossyCluster {

  private static final int TICK_MILLIS = 10;
  private static final int REPORT_INTERVAL_MILLIS = 1_500;
  private static final int MAX_RECORD_MILLIS = 60;
  private static final int MAX_LOSSY_RECORD_MILLIS = 600;
  private static final int MAX_DELIVERY_MILLIS = 20;
  private static final int MAX_LATE_DELIVERY_MILLIS = 4_000;
  private static final int LOSS_PERCENT = 6;
  private static final long STALE_AGE_MILLIS = 60_000;

  private static final DispatchSettings SETTINGS = DispatcherHarness.SETTINGS;

  private final Random random;
  private final CatalogState catalog = new CatalogState();
  private final WorkflowTable recorded = new WorkflowTable();
  private final Map<String, RecoveryMinion> minions = new LinkedHashMap<>();
  private final Map<String, Long> unreachableUntilMillis = new LinkedHashMap<>();
  private final Map<String, Long> silentUntilMillis = new LinkedHashMap<>();
  private final Map<String, StartFault> startFaults = new HashMap<>();
  private final PriorityQueue<Delivery> deliveries =
      new PriorityQueue<>(
          Comparator.comparingLong(Delivery::timeMillis).thenComparingLong(Delivery::number));
  private final Set<String> finishedTasks = new HashSet<>();
  private final List<String> history = new ArrayList<>();
  private Dispatcher dispatcher;
  private long fencingToken;
  private long term;
  private long lastRecordMillis;
  private long deliveryCount;
  private boolean lossy;
  private Consumer<TaskRun> startListener = run -> {};
  private long nowMillis = 1_000;

  LossyCluster(Random random) {
    this.random = random;
    Catalog.Builder initialCatalog =
        Catalog.newBuilder()
            .setVersion(1)
            .addServices(ServicePolicy.newBuilder().setName(DispatcherHarness.SERVICE))
            .addTeams(TeamEntitlement.newBuilder().setName("team").setGuaranteedAccelerators(16));
    for (int priority = 0; priority < 3; priority++) {
      initialCatalog.addQueues(DispatcherHarness.queue(priority));
    }
    catalog.apply(CatalogChange.newBuilder().setCatalog(initialCatalog).build());
    dispatcher = newDispatcher();
  }

  private Dispatcher newDispatcher() {
    fencingToken++;
    WorkflowTable table = new WorkflowTable();
    table.restore(recorded.snapshot());
    table.runTimes().restore(recorded.runTimes().toRecord());
    return new Dispatcher(
        SETTINGS,
        catalog,
        table,
        (kind, subject, details) -> record(kind + " " + subject + ' ' + List.of(details)),
        nowMillis,
        nowMillis);
  }

  /** Sets what is called after each actual start of a task on a minion. */
  void setStartListener(Consumer<TaskRun> listener) {
    startListener = listener;
  }

  /** Records a catalog in which a team has another quota. */
  void setQuota(String team, TaskDemand quota) {
    record("quota of " + team + ": " + quota.getAccelerators() + " accelerators");
    Catalog.Builder changed = catalog.lastChange().getCatalog().toBuilder();
    changed.getTeamsBuilderList().stream()
        .filter(entitlement -> entitlement.getName().equals(team))
        .forEach(entitlement -> entitlement.setQuota(quota));
    changed.setVersion(changed.getVersion() + 1);
    catalog
        .apply(CatalogChange.newBuilder().setCatalog(changed).build())
        .ifPresent(
            reason -> {
              throw failure(reason.toString());
            });
  }

  void record(String event) {
    history.add(nowMillis + ": " + event);
  }

  // -- faults

  void setLossy(boolean lossy) {
    this.lossy = lossy;
  }

  /** Replaces the dispatcher within its term; proposals of the previous one may still follow. */
  void startSession() {
    record("session");
    dispatcher = newDispatcher();
    reportStale();
  }

  /** Starts the dispatcher of a new term, in which no proposal of earlier terms is recorded. */
  void startLeader() {
    record("leader");
    term++;
    dispatcher = newDispatcher();
    reportStale();
  }

  private void reportStale() {
    for (RecoveryMinion minion : minions.values()) {
      if (random.nextBoolean()) {
        MinionReport report = minion.report(nowMillis);
        dispatcher.handleReport(
            report.toBuilder().setAgeMillis(STALE_AGE_MILLIS).clearClockMillis().build(),
            nowMillis);
      }
    }
  }

  void cut(RecoveryMinion minion, long untilMillis) {
    record("cut of " + minion.id() + " until " + untilMillis);
    unreachableUntilMillis.put(minion.id(), untilMillis);
  }

  void silence(RecoveryMinion minion, long untilMillis) {
    record("silence of " + minion.id() + " until " + untilMillis);
    silentUntilMillis.put(minion.id(), untilMillis);
  }

  /**
   * Makes a minion respond to renewals and treat all starts in a faulty way; half of the stops do
   * not arrive.
   */
  void setStartFault(RecoveryMinion minion, StartFault fault) {
    record(fault + " of starts on " + minion.id());
    startFaults.put(minion.id(), fault);
  }

  void crash(RecoveryMinion minion) {
    record("crash of " + minion.id());
    minion.crash();
  }

  void restart(RecoveryMinion minion) {
    record("restart of " + minion.id());
    minion.restart(nowMillis);
  }

  void leave(RecoveryMinion minion) {
    record("late leave of " + minion.id());
    dispatcher.handleLeave(minion.life(), nowMillis);
  }

  /** Ends all disturbances of links. */
  void heal() {
    record("end of failures");
    lossy = false;
    unreachableUntilMillis.clear();
    silentUntilMillis.clear();
    startFaults.clear();
  }

  /** Passes a report to the leader that may be from anyone. */
  void report(MinionReport report) {
    record("report " + report.toString().replace('\n', ' '));
    dispatcher.handleReport(report, nowMillis);
  }

  // -- time

  RecoveryMinion addMinion(String id, String rack) {
    RecoveryMinion minion = new RecoveryMinion(id, rack, nowMillis);
    minions.put(id, minion);
    scheduleReport(minion);
    return minion;
  }

  private void scheduleReport(RecoveryMinion minion) {
    deliver(
        random.nextInt(REPORT_INTERVAL_MILLIS) / 2 + REPORT_INTERVAL_MILLIS / 2,
        () -> {
          if (minion.isUp() && nowMillis >= silentUntilMillis.getOrDefault(minion.id(), 0L)) {
            dispatcher.handleReport(minion.report(nowMillis), nowMillis);
          }
          scheduleReport(minion);
        });
  }

  void advanceTime(long millis) {
    for (long endMillis = nowMillis + millis; nowMillis < endMillis; nowMillis += TICK_MILLIS) {
      while (!deliveries.isEmpty() && deliveries.peek().timeMillis <= nowMillis) {
        deliveries.poll().action.run();
      }
      minions.values().forEach(minion -> minion.killIfLapsed(nowMillis));
      dispatcher.advance(nowMillis, nowMillis);
      for (WorkflowBatch batch = dispatcher.takeProposals();
          batch.getEventsCount() > 0;
          batch = dispatcher.takeProposals()) {
        propose(batch);
      }
      dispatcher.takeOrders().forEach(this::send);
      checkNoTaskRunsTwice();
    }
  }

  private void deliver(long delayMillis, Runnable action) {
    deliveries.add(new Delivery(nowMillis + delayMillis, deliveryCount++, action));
  }

  // -- replicated log

  /** Proposes a batch, which is recorded after the ones before unless the term ends. */
  void propose(WorkflowBatch batch) {
    int maxMillis = lossy ? MAX_LOSSY_RECORD_MILLIS : MAX_RECORD_MILLIS;
    lastRecordMillis = Math.max(lastRecordMillis, nowMillis + random.nextInt(maxMillis));
    long proposedTerm = term;
    deliver(
        lastRecordMillis - nowMillis,
        () -> {
          if (term == proposedTerm) {
            apply(batch);
          }
        });
  }

  /** Records a batch at once. */
  void apply(WorkflowBatch batch) {
    List<Optional<Problem>> problems = recorded.apply(batch, nowMillis);
    dispatcher.handleApplied(batch, problems, nowMillis, nowMillis, nowMillis);
  }

  // -- orders

  private void send(Order order) {
    Dispatcher sender = dispatcher;
    long token = fencingToken;
    if (order instanceof Order.Renew renew) {
      sendRenewal(renew, sender, token);
    } else if (order instanceof Order.Start start) {
      sendTaskOrder(order, start.taskRun(), sender, token);
    } else if (order instanceof Order.Stop stop) {
      sendTaskOrder(order, stop.taskRun(), sender, token);
    }
  }

  private void sendTaskOrder(Order order, TaskRun run, Dispatcher sender, long token) {
    RecoveryMinion minion = minions.get(order.target().address());
    if (minion == null) {
      deliver(
          SETTINGS.responseTimeoutMillis(),
          () -> handleOutcome(sender, order, run, OrderOutcome.UNKNOWN));
      return;
    }
    StartFault fault = startFaults.get(minion.id());
    if (fault != null && order instanceof Order.Start start) {
      sendFaultyStart(minion, fault, start, sender, token);
      return;
    }
    if (fault != null && random.nextBoolean()) {
      deliver(
          SETTINGS.responseTimeoutMillis(),
          () -> handleOutcome(sender, order, run, OrderOutcome.UNKNOWN));
      return;
    }
    boolean late = lossy && random.nextInt(100) < LOSS_PERCENT;
    boolean responseLost = late || (lossy && random.nextInt(100) < LOSS_PERCENT);
    long timeoutMillis = SETTINGS.responseTimeoutMillis();
    long delayMillis = 1L + random.nextInt(late ? MAX_LATE_DELIVERY_MILLIS : MAX_DELIVERY_MILLIS);
    deliver(
        delayMillis,
        () -> {
          if (!isReachable(minion)) {
            deliver(timeoutMillis, () -> handleOutcome(sender, order, run, OrderOutcome.UNKNOWN));
            return;
          }
          OrderOutcome outcome = carryOut(minion, order, token);
          if (!responseLost) {
            deliver(1, () -> handleOutcome(sender, order, run, outcome));
          }
        });
    if (responseLost) {
      deliver(timeoutMillis, () -> handleOutcome(sender, order, run, OrderOutcome.UNKNOWN));
    }
  }

  private void sendFaultyStart(
      RecoveryMinion minion, StartFault fault, Order.Start start, Dispatcher sender, long token) {
    TaskRun run = start.taskRun();
    long lateMillis = 1L + random.nextInt(MAX_LATE_DELIVERY_MILLIS);
    switch (fault) {
      case IGNORED -> {}
      case CARRIED_OUT_LATE -> deliver(lateMillis, () -> carryOut(minion, start, token));
      case ANSWERED_LATE -> {
        deliver(1, () -> carryOut(minion, start, token));
        deliver(lateMillis, () -> handleOutcome(sender, start, run, OrderOutcome.DONE));
      }
    }
    deliver(
        SETTINGS.responseTimeoutMillis(),
        () -> handleOutcome(sender, start, run, OrderOutcome.UNKNOWN));
  }

  private OrderOutcome carryOut(RecoveryMinion minion, Order order, long token) {
    if (!order.target().life().equals(minion.life())) {
      return OrderOutcome.OTHER_MINION;
    }
    if (order instanceof Order.Start start) {
      boolean wasRunning = minion.running().contains(start.taskRun());
      OrderOutcome outcome = minion.start(start, acceleratorsOf(start.taskRun()), token, nowMillis);
      if (outcome == OrderOutcome.DONE) {
        checkNotFinished(start.taskRun());
        if (!wasRunning) {
          startListener.accept(start.taskRun());
        }
      }
      return outcome;
    }
    return minion.stop(((Order.Stop) order).taskRun(), token);
  }

  private int acceleratorsOf(TaskRun run) {
    return stepOf(run).getDemand().getAccelerators();
  }

  private WorkflowStep stepOf(TaskRun run) {
    return recorded.find(run.workflowId()).orElseThrow().spec().getSteps(run.step());
  }

  private void handleOutcome(Dispatcher sender, Order order, TaskRun run, OrderOutcome outcome) {
    if (order instanceof Order.Start) {
      sender.handleStartOutcome(run, outcome, nowMillis);
    } else {
      sender.handleStopOutcome(run, outcome, nowMillis);
    }
  }

  private void sendRenewal(Order.Renew order, Dispatcher sender, long token) {
    RecoveryMinion minion = minions.get(order.target().address());
    if (minion == null || !minion.id().equals(order.target().life().getMinionId())) {
      failRenewal(order, sender);
      return;
    }
    boolean lost = lossy && random.nextInt(100) < LOSS_PERCENT;
    deliver(
        1L + random.nextInt(MAX_DELIVERY_MILLIS),
        () -> {
          boolean arrives = isReachable(minion) && !lost;
          if (arrives && minion.life().equals(order.target().life())) {
            rememberFinished(minion, order.recordedEndNumber());
          }
          if (arrives && minion.renew(order, token, nowMillis)) {
            respond(order, minion, minion.life(), sender, nowMillis + order.waitMillis());
          } else {
            failRenewal(order, sender);
          }
        });
  }

  // The leader knows of the ends that it acknowledges. After a lapse of the lease it may have
  // started the task again before it learned of its end.
  private void rememberFinished(RecoveryMinion minion, long recordedEndNumber) {
    for (RenewalResponse.EndedTask end : minion.ended()) {
      boolean known = end.number() <= recordedEndNumber && end.number() > minion.lapsedEndNumber();
      if (known && end.cause() == RunEnd.Cause.DONE && !isLongRunning(end.taskRun())) {
        finishedTasks.add(RecoveryMinion.taskOf(end.taskRun()));
      }
    }
  }

  private boolean isLongRunning(TaskRun run) {
    return stepOf(run).getLongRunning();
  }

  private void respond(
      Order.Renew order,
      RecoveryMinion minion,
      MinionLife life,
      Dispatcher sender,
      long untilMillis) {
    if (!isReachable(minion) || !minion.life().equals(life)) {
      failRenewal(order, sender);
    } else if (nowMillis >= untilMillis || !minion.ended().isEmpty()) {
      RenewalResponse response = minion.response(nowMillis);
      deliver(1, () -> sender.handleRenewal(order.target().life(), response, nowMillis));
    } else {
      deliver(TICK_MILLIS, () -> respond(order, minion, life, sender, untilMillis));
    }
  }

  private void failRenewal(Order.Renew order, Dispatcher sender) {
    deliver(
        SETTINGS.responseTimeoutMillis(),
        () -> sender.handleRenewalFailure(order.target().life(), OrderOutcome.UNKNOWN, nowMillis));
  }

  private boolean isReachable(RecoveryMinion minion) {
    return minion.isUp() && nowMillis >= unreachableUntilMillis.getOrDefault(minion.id(), 0L);
  }

  // -- checks

  private void checkNoTaskRunsTwice() {
    Set<String> runningTasks = new HashSet<>();
    for (RecoveryMinion minion : minions.values()) {
      for (TaskRun run : minion.running()) {
        if (!runningTasks.add(RecoveryMinion.taskOf(run))) {
          throw failure("task runs twice: " + run);
        }
      }
    }
  }

  private void checkNotFinished(TaskRun run) {
    if (finishedTasks.contains(RecoveryMinion.taskOf(run))) {
      throw failure("start after the task was done: " + run);
    }
  }

  AssertionError failure(String message) {
    return new AssertionError(message + "\n" + String.join("\n", history));
  }

  // -- queries

  void endTask(RecoveryMinion minion, TaskRun run, RunEnd.Cause cause) {
    record("end of " + run + " as " + cause + " on " + minion.id());
    minion.endTask(run, cause);
  }

  List<RecoveryMinion> minions() {
    return List.copyOf(minions.values());
  }

  WorkflowTable recorded() {
    return recorded;
  }

  DispatcherStatus status() {
    return dispatcher.status(nowMillis);
  }

  long nowMillis() {
    return nowMillis;
  }

  /** What a faulty minion does with a start, to which it gives no response in time. */
  enum StartFault {
    IGNORED,
    CARRIED_OUT_LATE,
    ANSWERED_LATE
  }

  private record Delivery(long timeMillis, long number, Runnable action) {}
}
