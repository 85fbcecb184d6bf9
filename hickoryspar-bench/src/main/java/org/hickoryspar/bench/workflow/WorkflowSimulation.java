package org.hickoryspar.bench.workflow;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import org.hickoryspar.kernel.catalog.CatalogState;
import org.hickoryspar.kernel.dispatch.DispatchListener;
import org.hickoryspar.kernel.dispatch.DispatchSettings;
import org.hickoryspar.kernel.dispatch.order.Order;
import org.hickoryspar.kernel.dispatch.order.TaskRun;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.kernel.workflow.WorkflowTable;
import org.hickoryspar.protocol.CancelWorkflow;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.WorkflowBatch;
import org.hickoryspar.protocol.WorkflowEvent;
import org.hickoryspar.protocol.WorkflowState;

/** Simulates the dispatcher, its minions and their network under a virtual clock. */
final class WorkflowSimulation {

  private static final long TICK_MILLIS = 5;
  private static final long HEARTBEAT_INTERVAL_MILLIS = 1_500;
  private static final long COMMIT_DELAY_MILLIS = 15;
  private static final long FAILOVER_MILLIS = 1_300;
  private static final long BURST_DURATION_MILLIS = 6_000;

  private final WorkflowDeployment deployment;
  private final Random random;
  private final SimulatedNetwork network;
  private final RunChecker checker = new RunChecker();
  private final SimulatedGangs gangs;
  private final WastedWork wastedWork = new WastedWork();
  private final CatalogState catalog;
  private final DispatchSettings settings;
  private final DispatchListener listener;
  private final WorkflowTable workflowTable = new WorkflowTable();
  private final Map<String, SimulatedMinion> minions = new LinkedHashMap<>();
  private final Map<String, SimulatedWorkflow> workflows = new HashMap<>();
  private final Map<String, Long> endMillisByWorkflow = new HashMap<>();
  private final List<SimulatedWorkflow> workload;
  private final long endMillis;
  private SimulatedLeader leader;
  private long term = 1;
  private long logEpoch;
  private long nowMillis = 1_000;

  WorkflowSimulation(
      WorkflowDeployment deployment,
      long seed,
      double loadFactor,
      double burstFactor,
      long durationMillis,
      long drainMillis,
      DispatchListener listener) {
    this.deployment = deployment;
    this.random = new Random(seed);
    this.network = new SimulatedNetwork(new Random(seed + 1));
    this.gangs = new SimulatedGangs(3_000, 3);
    this.settings = WorkflowDeployment.dispatchSettings();
    this.listener =
        (kind, subject, details) -> {
          Object[] detailsWithTime = new Object[details.length + 2];
          detailsWithTime[0] = "nowMillis";
          detailsWithTime[1] = nowMillis;
          System.arraycopy(details, 0, detailsWithTime, 2, details.length);
          listener.onEvent(kind, subject, detailsWithTime);
        };
    this.catalog = deployment.catalog();
    WorkflowGenerator generator = new WorkflowGenerator(seed + 2, deployment);
    List<WorkflowKind> kinds =
        deployment.kinds().stream().map(kind -> kind.withScaledRate(loadFactor)).toList();
    long firstArrivalMillis = nowMillis + 2_000;
    this.workload =
        new ArrayList<>(generator.generate(kinds, firstArrivalMillis, nowMillis + durationMillis));
    workload.addAll(
        generator.generateBurst(
            kinds, burstFactor, firstArrivalMillis, firstArrivalMillis + BURST_DURATION_MILLIS));
    workload.sort(Comparator.comparingLong(SimulatedWorkflow::submittedMillis));
    this.endMillis = nowMillis + durationMillis + drainMillis;
    deployment.addMinions(minions, nowMillis, new Observer());
    this.leader = newLeader();
  }

  private SimulatedLeader newLeader() {
    return new SimulatedLeader(
        term, settings, catalog, workflowTable, listener, network, minions, nowMillis);
  }

  /** Schedules a number of random faults at random times while workflows arrive. */
  void scheduleFaults(Set<Fault> faults, int count) {
    List<Fault> kinds = new ArrayList<>(faults);
    long arrivalSpanMillis =
        workload.isEmpty() ? 0 : workload.get(workload.size() - 1).submittedMillis() - nowMillis;
    for (int i = 0; i < count && !kinds.isEmpty(); i++) {
      Fault fault = kinds.get(random.nextInt(kinds.size()));
      long atMillis =
          nowMillis + 3_000 + (long) (random.nextDouble() * Math.max(1, arrivalSpanMillis - 3_000));
      network.scheduleAt(atMillis, () -> injectFault(fault));
    }
  }

  private void injectFault(Fault fault) {
    long durationMillis = 3_000L + random.nextInt(5_000);
    switch (fault) {
      case LEADER_LOST -> replaceLeader();
      case ORDERS_LATE -> {
        network.setDelayedOrderShare(0.1);
        network.scheduleAt(nowMillis + durationMillis, () -> network.setDelayedOrderShare(0));
      }
      case ANSWERS_LOST -> {
        network.setLostResponseShare(0.2);
        network.scheduleAt(nowMillis + durationMillis, () -> network.setLostResponseShare(0));
      }
      default -> {
        for (SimulatedMinion minion : List.copyOf(minions.values())) {
          if (random.nextDouble() < 0.12 && minion.isUp()) {
            injectFault(fault, minion, durationMillis);
          }
        }
      }
    }
  }

  private void injectFault(Fault fault, SimulatedMinion minion, long durationMillis) {
    long recoveryMillis = nowMillis + durationMillis;
    switch (fault) {
      case MINIONS_CUT -> network.partition(minion, recoveryMillis);
      case MINIONS_CRASH -> {
        minion.crash(nowMillis);
        network.scheduleAt(recoveryMillis, () -> minion.restart(recoveryMillis));
      }
      case MINIONS_VANISH -> {
        minion.crash(nowMillis);
        network.scheduleAt(
            recoveryMillis, () -> addMinion(minion.replacement("+", recoveryMillis)));
      }
      case MINIONS_FAIL -> {
        minion.setFailsAllTasks(true);
        network.scheduleAt(recoveryMillis, () -> minion.setFailsAllTasks(false));
      }
      case MINIONS_HANG -> {
        minion.setSpeed(0);
        network.scheduleAt(recoveryMillis, () -> minion.setSpeed(1));
      }
      case MINIONS_SLOW -> {
        minion.setSpeed(0.2);
        network.scheduleAt(recoveryMillis, () -> minion.setSpeed(1));
      }
      case MINIONS_LEAVE -> {
        minion.drain();
        network.scheduleAt(
            nowMillis + 4_000,
            () -> {
              if (minion.isUp()) {
                MinionLife life = minion.life();
                minion.crash(nowMillis);
                leader.dispatcher().handleLeave(life, nowMillis);
              }
            });
      }
      default -> throw new IllegalArgumentException("not a fault of minions: " + fault);
    }
  }

  private void addMinion(SimulatedMinion minion) {
    minions.put(minion.id(), minion);
    sendHeartbeat(minion);
  }

  // Pending proposals are either lost or applied before the next leader starts.
  private void replaceLeader() {
    leader.stepDown();
    if (random.nextBoolean()) {
      logEpoch++;
    }
    long atMillis = nowMillis + FAILOVER_MILLIS;
    network.scheduleAt(
        atMillis,
        () -> {
          logEpoch++;
          term++;
          leader = newLeader();
          minions.values().stream()
              .filter(minion -> minion.isUp() && !network.isPartitioned(minion, nowMillis))
              .forEach(
                  minion -> leader.dispatcher().handleReport(minion.report(nowMillis), nowMillis));
        });
  }

  /** Runs the simulation to its end. */
  WorkflowResult run() {
    int nextWorkflow = 0;
    scheduleHeartbeats();
    while (nowMillis < endMillis) {
      nowMillis += TICK_MILLIS;
      while (nextWorkflow < workload.size()
          && workload.get(nextWorkflow).submittedMillis() <= nowMillis) {
        submit(workload.get(nextWorkflow++));
      }
      network.runDueActions(nowMillis);
      for (SimulatedMinion minion : minions.values()) {
        if (minion.isUp()) {
          minion.advance(nowMillis, TICK_MILLIS);
        }
      }
      gangs.advance(nowMillis);
      WorkflowBatch proposals = leader.advance(nowMillis);
      if (proposals.getEventsCount() > 0) {
        propose(proposals);
      }
    }
    return result();
  }

  private void scheduleHeartbeats() {
    for (SimulatedMinion minion : minions.values()) {
      network.scheduleAt(
          nowMillis + random.nextInt((int) HEARTBEAT_INTERVAL_MILLIS), () -> sendHeartbeat(minion));
    }
  }

  private void sendHeartbeat(SimulatedMinion minion) {
    if (minion.isUp() && !network.isPartitioned(minion, nowMillis)) {
      leader.dispatcher().handleReport(minion.report(nowMillis), nowMillis);
    }
    network.scheduleAt(nowMillis + HEARTBEAT_INTERVAL_MILLIS, () -> sendHeartbeat(minion));
  }

  private void submit(SimulatedWorkflow workflow) {
    String workflowId = workflow.submission().getWorkflowId();
    workflows.put(workflowId, workflow);
    propose(
        WorkflowBatch.newBuilder()
            .addEvents(WorkflowEvent.newBuilder().setSubmit(workflow.submission()))
            .build());
    if (workflow.cancelMillis() != Long.MAX_VALUE) {
      network.scheduleAt(
          workflow.cancelMillis(),
          () ->
              propose(
                  WorkflowBatch.newBuilder()
                      .addEvents(
                          WorkflowEvent.newBuilder()
                              .setCancel(CancelWorkflow.newBuilder().setWorkflowId(workflowId)))
                      .build()));
    }
  }

  private void propose(WorkflowBatch batch) {
    long epoch = logEpoch;
    boolean fromDispatcher = batch.getDispatchNumber() > 0;
    network.scheduleAt(
        nowMillis + COMMIT_DELAY_MILLIS,
        () -> {
          if (fromDispatcher && epoch != logEpoch) {
            return;
          }
          List<Optional<Problem>> problems = workflowTable.apply(batch, nowMillis);
          leader.handleApplied(batch, problems, nowMillis);
          recordWorkflowEnds(batch);
        });
  }

  private void recordWorkflowEnds(WorkflowBatch batch) {
    for (WorkflowEvent event : batch.getEventsList()) {
      if (event.hasRunEnd()) {
        String workflowId = event.getRunEnd().getWorkflowId();
        workflowTable
            .find(workflowId)
            .filter(Workflow::isEnded)
            .ifPresent(workflow -> endMillisByWorkflow.putIfAbsent(workflowId, nowMillis));
      }
    }
  }

  private WorkflowResult result() {
    Map<String, WorkflowResult.KindResult> kinds = new LinkedHashMap<>();
    for (WorkflowKind kind : deployment.kinds()) {
      kinds.put(kind.name(), new WorkflowResult.KindResult());
    }
    for (SimulatedWorkflow workflow : workload) {
      if (workflow.cancelMillis() == Long.MAX_VALUE) {
        requireNonNull(kinds.get(workflow.kind().name()), "unknown kind")
            .recordWorkflow(workflow, durationMillis(workflow));
      }
    }
    return new WorkflowResult(
        kinds,
        checker.violations(),
        Math.round(wastedWork.coreSeconds()),
        wastedWork.byKindAndCause(),
        leader.decisions() == 0 ? 0 : leader.decisionNanos() / leader.decisions() / 1_000,
        leader.maxDecisionNanos() / 1_000);
  }

  // The expected end of a workflow that always fails is its failure.
  private long durationMillis(SimulatedWorkflow workflow) {
    String workflowId = workflow.submission().getWorkflowId();
    Long workflowEndMillis = endMillisByWorkflow.get(workflowId);
    WorkflowState expectedState =
        workflow.alwaysFails() ? WorkflowState.WORKFLOW_FAILED : WorkflowState.WORKFLOW_COMPLETED;
    boolean reachedExpectedState =
        workflowTable.find(workflowId).filter(w -> w.state() == expectedState).isPresent();
    return workflowEndMillis == null || !reachedExpectedState
        ? Long.MAX_VALUE
        : workflowEndMillis - workflow.submittedMillis();
  }

  private final class Observer implements SimulatedMinion.RunObserver {

    @Override
    public SimulatedRun onStart(SimulatedMinion minion, Order.Start order, long atMillis) {
      TaskRun taskRun = order.taskRun();
      SimulatedWorkflow workflow =
          requireNonNull(workflows.get(taskRun.workflowId()), "unknown workflow");
      checker.checkStart(minion, workflow, order, atMillis);
      SplittableRandom taskRandom = new SplittableRandom(taskRun.hashCode());
      double resumedWorkMillis =
          order.checkpoint().isEmpty() ? 0 : Double.parseDouble(order.checkpoint());
      SimulatedRun run =
          new SimulatedRun(
              taskRun,
              workflow,
              atMillis,
              resumedWorkMillis,
              taskRandom.nextDouble() < workflow.failureShare(),
              taskRandom.nextDouble());
      gangs.recordStart(minion, run);
      return run;
    }

    @Override
    public void onEnd(SimulatedMinion minion, SimulatedRun run, RunEnd.Cause cause, long atMillis) {
      checker.recordEnd(minion, run, cause);
      wastedWork.recordEnd(run, cause);
      gangs.recordEnd(run, cause, atMillis);
    }

    @Override
    public void onEndAcknowledged(TaskRun taskRun, RunEnd.Cause cause, long endMillis) {
      checker.recordAcknowledgedEnd(
          requireNonNull(workflows.get(taskRun.workflowId()), "unknown workflow"),
          taskRun,
          cause,
          endMillis);
    }

    @Override
    public double slowdown(SimulatedRun run) {
      return gangs.slowdown(run);
    }
  }
}
