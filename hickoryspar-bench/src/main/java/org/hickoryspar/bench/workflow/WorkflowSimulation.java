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
import org.hickoryspar.kernel.dispatch.Order;
import org.hickoryspar.kernel.dispatch.TaskRun;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.kernel.workflow.Workflow;
import org.hickoryspar.kernel.workflow.WorkflowTable;
import org.hickoryspar.protocol.CancelWorkflow;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.WorkflowBatch;
import org.hickoryspar.protocol.WorkflowEvent;
import org.hickoryspar.protocol.WorkflowState;

/** One run under a virtual clock: a load, faults, and what became of each workflow. */
final class WorkflowSimulation {

  private static final long TICK_MILLIS = 5;
  private static final long HEARTBEAT_MILLIS = 1_500;
  private static final long COMMIT_MILLIS = 15;
  private static final long LEADERLESS_MILLIS = 1_300;
  private static final long BURST_MILLIS = 6_000;

  private final WorkflowDeployment deployment;
  private final Random random;
  private final SimulatedNetwork network;
  private final RunChecker checker = new RunChecker();
  private final SimulatedGangs gangs;
  private final WastedWork waste = new WastedWork();
  private final CatalogState catalog;
  private final DispatchSettings settings;
  private final DispatchListener listener;
  private final WorkflowTable table = new WorkflowTable();
  private final Map<String, SimulatedMinion> minions = new LinkedHashMap<>();
  private final Map<String, SimulatedWorkflow> workflows = new HashMap<>();
  private final Map<String, Long> endedMillis = new HashMap<>();
  private final List<SimulatedWorkflow> load;
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
    this.settings = WorkflowDeployment.settings();
    this.listener =
        (kind, subject, details) -> {
          Object[] timed = new Object[details.length + 2];
          timed[0] = "nowMillis";
          timed[1] = nowMillis;
          System.arraycopy(details, 0, timed, 2, details.length);
          listener.onEvent(kind, subject, timed);
        };
    this.catalog = deployment.catalog();
    WorkflowGenerator generator = new WorkflowGenerator(seed + 2, deployment);
    List<WorkflowKind> kinds =
        deployment.kinds().stream().map(kind -> kind.times(loadFactor)).toList();
    long fromMillis = nowMillis + 2_000;
    this.load = new ArrayList<>(generator.generate(kinds, fromMillis, nowMillis + durationMillis));
    load.addAll(generator.burst(kinds, burstFactor, fromMillis, fromMillis + BURST_MILLIS));
    load.sort(Comparator.comparingLong(SimulatedWorkflow::submittedMillis));
    this.endMillis = nowMillis + durationMillis + drainMillis;
    deployment.addMinions(minions, nowMillis, new Observer());
    this.leader = newLeader();
  }

  private SimulatedLeader newLeader() {
    return new SimulatedLeader(
        term, settings, catalog, table.snapshot(), listener, network, minions, nowMillis);
  }

  /** Adds faults at random times during the load. */
  void schedule(Set<Fault> faults, int count) {
    List<Fault> kinds = new ArrayList<>(faults);
    long span = load.isEmpty() ? 0 : load.get(load.size() - 1).submittedMillis() - nowMillis;
    for (int i = 0; i < count && !kinds.isEmpty(); i++) {
      Fault fault = kinds.get(random.nextInt(kinds.size()));
      long atMillis = nowMillis + 3_000 + (long) (random.nextDouble() * Math.max(1, span - 3_000));
      network.at(atMillis, () -> strike(fault));
    }
  }

  private void strike(Fault fault) {
    long forMillis = 3_000L + random.nextInt(5_000);
    switch (fault) {
      case LEADER_LOST -> loseLeader();
      case ORDERS_LATE -> {
        network.setLateShare(0.1);
        network.at(nowMillis + forMillis, () -> network.setLateShare(0));
      }
      case ANSWERS_LOST -> {
        network.setLostAnswerShare(0.2);
        network.at(nowMillis + forMillis, () -> network.setLostAnswerShare(0));
      }
      default -> {
        for (SimulatedMinion minion : List.copyOf(minions.values())) {
          if (random.nextDouble() < 0.12 && minion.isUp()) {
            strike(fault, minion, forMillis);
          }
        }
      }
    }
  }

  private void strike(Fault fault, SimulatedMinion minion, long forMillis) {
    long overMillis = nowMillis + forMillis;
    switch (fault) {
      case MINIONS_CUT -> network.cut(minion, overMillis);
      case MINIONS_CRASH -> {
        minion.crash(nowMillis);
        network.at(overMillis, () -> minion.restart(overMillis));
      }
      case MINIONS_VANISH -> {
        minion.crash(nowMillis);
        network.at(overMillis, () -> join(minion.successor("+", overMillis)));
      }
      case MINIONS_FAIL -> {
        minion.setFailsAll(true);
        network.at(overMillis, () -> minion.setFailsAll(false));
      }
      case MINIONS_HANG -> {
        minion.setSpeed(0);
        network.at(overMillis, () -> minion.setSpeed(1));
      }
      case MINIONS_SLOW -> {
        minion.setSpeed(0.2);
        network.at(overMillis, () -> minion.setSpeed(1));
      }
      case MINIONS_LEAVE -> {
        minion.drain();
        network.at(
            nowMillis + 4_000,
            () -> {
              if (minion.isUp()) {
                minion.crash(nowMillis);
                leader.dispatcher().handleLeave(minion.id(), nowMillis);
              }
            });
      }
      default -> throw new IllegalArgumentException("no fault of minions: " + fault);
    }
  }

  private void join(SimulatedMinion minion) {
    minions.put(minion.id(), minion);
    heartbeat(minion);
  }

  // What was proposed and not yet applied is either lost or applied before the next leader starts.
  private void loseLeader() {
    leader.depose();
    if (random.nextBoolean()) {
      logEpoch++;
    }
    long atMillis = nowMillis + LEADERLESS_MILLIS;
    network.at(
        atMillis,
        () -> {
          logEpoch++;
          term++;
          leader = newLeader();
          minions.values().stream()
              .filter(minion -> minion.isUp() && !network.isCut(minion, nowMillis))
              .forEach(
                  minion -> leader.dispatcher().handleReport(minion.report(nowMillis), nowMillis));
        });
  }

  /** Plays the run. */
  WorkflowResult play() {
    int next = 0;
    scheduleHeartbeats();
    while (nowMillis < endMillis) {
      nowMillis += TICK_MILLIS;
      while (next < load.size() && load.get(next).submittedMillis() <= nowMillis) {
        submit(load.get(next++));
      }
      network.deliver(nowMillis);
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
      network.at(nowMillis + random.nextInt((int) HEARTBEAT_MILLIS), () -> heartbeat(minion));
    }
  }

  private void heartbeat(SimulatedMinion minion) {
    if (minion.isUp() && !network.isCut(minion, nowMillis)) {
      leader.dispatcher().handleReport(minion.report(nowMillis), nowMillis);
    }
    network.at(nowMillis + HEARTBEAT_MILLIS, () -> heartbeat(minion));
  }

  private void submit(SimulatedWorkflow workflow) {
    String id = workflow.submission().getWorkflowId();
    workflows.put(id, workflow);
    propose(
        WorkflowBatch.newBuilder()
            .addEvents(WorkflowEvent.newBuilder().setSubmit(workflow.submission()))
            .build());
    if (workflow.cancelMillis() != Long.MAX_VALUE) {
      network.at(
          workflow.cancelMillis(),
          () ->
              propose(
                  WorkflowBatch.newBuilder()
                      .addEvents(
                          WorkflowEvent.newBuilder()
                              .setCancel(CancelWorkflow.newBuilder().setWorkflowId(id)))
                      .build()));
    }
  }

  private void propose(WorkflowBatch batch) {
    long epoch = logEpoch;
    boolean own = batch.getDispatchNumber() > 0;
    network.at(
        nowMillis + COMMIT_MILLIS,
        () -> {
          if (own && epoch != logEpoch) {
            return;
          }
          List<Optional<Problem>> problems = table.apply(batch, nowMillis);
          leader.applied(batch, problems, nowMillis);
          noteEnds(batch);
        });
  }

  private void noteEnds(WorkflowBatch batch) {
    for (WorkflowEvent event : batch.getEventsList()) {
      if (event.hasRunEnd()) {
        String id = event.getRunEnd().getWorkflowId();
        table
            .find(id)
            .filter(Workflow::isEnded)
            .ifPresent(workflow -> endedMillis.putIfAbsent(id, nowMillis));
      }
    }
  }

  private WorkflowResult result() {
    Map<String, WorkflowResult.KindResult> kinds = new LinkedHashMap<>();
    for (WorkflowKind kind : deployment.kinds()) {
      kinds.put(kind.name(), new WorkflowResult.KindResult());
    }
    for (SimulatedWorkflow workflow : load) {
      if (workflow.cancelMillis() == Long.MAX_VALUE) {
        requireNonNull(kinds.get(workflow.kind().name()), "unknown kind")
            .add(workflow, tookMillis(workflow));
      }
    }
    return new WorkflowResult(
        kinds,
        checker.broken(),
        Math.round(waste.coreSeconds()),
        waste.byKindAndCause(),
        leader.decisions() == 0 ? 0 : leader.decisionNanos() / leader.decisions() / 1_000,
        leader.maxDecisionNanos() / 1_000);
  }

  // A workflow that cannot be done is served by saying so.
  private long tookMillis(SimulatedWorkflow workflow) {
    String id = workflow.submission().getWorkflowId();
    Long ended = endedMillis.get(id);
    WorkflowState wanted =
        workflow.isHopeless() ? WorkflowState.WORKFLOW_FAILED : WorkflowState.WORKFLOW_COMPLETED;
    boolean served = table.find(id).filter(w -> w.state() == wanted).isPresent();
    return ended == null || !served ? Long.MAX_VALUE : ended - workflow.submittedMillis();
  }

  private final class Observer implements SimulatedMinion.RunObserver {

    @Override
    public SimulatedRun starting(SimulatedMinion minion, Order.Start order, long atMillis) {
      TaskRun taskRun = order.taskRun();
      SimulatedWorkflow workflow =
          requireNonNull(workflows.get(taskRun.workflowId()), "unknown workflow");
      checker.starting(minion, workflow, order, atMillis);
      SplittableRandom fate = new SplittableRandom(taskRun.hashCode());
      double resumed = order.checkpoint().isEmpty() ? 0 : Double.parseDouble(order.checkpoint());
      SimulatedRun run =
          new SimulatedRun(
              taskRun,
              workflow,
              atMillis,
              resumed,
              fate.nextDouble() < workflow.failureShare(),
              fate.nextDouble());
      gangs.started(minion, run);
      return run;
    }

    @Override
    public void ended(SimulatedMinion minion, SimulatedRun run, RunEnd.Cause cause, long atMillis) {
      checker.ended(minion, run, cause);
      waste.ended(run, cause);
      gangs.ended(run, cause, atMillis);
    }

    @Override
    public void noted(TaskRun taskRun, RunEnd.Cause cause, long endedMillis) {
      checker.noted(
          requireNonNull(workflows.get(taskRun.workflowId()), "unknown workflow"),
          taskRun,
          cause,
          endedMillis);
    }

    @Override
    public double slowdown(SimulatedRun run) {
      return gangs.slowdown(run);
    }
  }
}
