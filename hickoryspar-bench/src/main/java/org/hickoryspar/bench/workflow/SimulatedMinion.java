package org.hickoryspar.bench.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hickoryspar.kernel.dispatch.order.Order;
import org.hickoryspar.kernel.dispatch.order.OrderOutcome;
import org.hickoryspar.kernel.dispatch.order.RenewalResponse;
import org.hickoryspar.kernel.dispatch.order.TaskRun;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.MinionReport;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.TaskDemand;

/**
 * A minion that follows the protocol: it keeps a lease on its own clock, rejects orders with an
 * outdated fencing token, never starts a run twice and reports ends until they are acknowledged.
 */
final class SimulatedMinion {

  private static final long MAX_LEASE_MILLIS = 6_000;
  private static final long STOP_DURATION_MILLIS = 400;

  private final String id;
  private final String rack;
  private final String dataCentre;
  private final TaskDemand capacity;
  private final double clockRate;
  private final RunObserver observer;
  private long bornMillis;
  private long sequence;
  private long highestToken;
  private long leaseExpiryMillis;
  private long lastEndNumber;
  private double speed = 1;
  private boolean failsAllTasks;
  private boolean up = true;
  private boolean draining;
  private final Map<TaskRun, SimulatedRun> running = new LinkedHashMap<>();
  private final List<RenewalResponse.EndedTask> unacknowledgedEnds = new ArrayList<>();
  private final Map<TaskRun, Integer> highestEndedRuns = new HashMap<>();
  private final Map<Long, Long> endMillisByNumber = new HashMap<>();
  private long lastLapseMillis = Long.MIN_VALUE;

  SimulatedMinion(
      String id,
      String rack,
      String dataCentre,
      TaskDemand capacity,
      double clockRate,
      long bornMillis,
      RunObserver observer) {
    this.id = id;
    this.rack = rack;
    this.dataCentre = dataCentre;
    this.capacity = capacity;
    this.clockRate = clockRate;
    this.bornMillis = bornMillis;
    this.observer = observer;
  }

  /** Creates the runs of a minion and handles their ends. */
  interface RunObserver {

    /** Checks an accepted start order and returns the run that it starts. */
    SimulatedRun onStart(SimulatedMinion minion, Order.Start order, long nowMillis);

    void onEnd(SimulatedMinion minion, SimulatedRun run, RunEnd.Cause cause, long nowMillis);

    /** Handles the acknowledgement of an end after which the lease has not lapsed. */
    void onEndAcknowledged(TaskRun taskRun, RunEnd.Cause cause, long endMillis);

    /** Returns the factor by which the placement of a run extends its work. */
    double slowdown(SimulatedRun run);
  }

  /** Returns a new minion with the same capacity and location. */
  SimulatedMinion replacement(String suffix, long atMillis) {
    return new SimulatedMinion(
        id + suffix, rack, dataCentre, capacity, clockRate, atMillis, observer);
  }

  String id() {
    return id;
  }

  String rack() {
    return rack;
  }

  TaskDemand capacity() {
    return capacity;
  }

  MinionLife life() {
    return MinionLife.newBuilder().setMinionId(id).setBornMillis(bornMillis).build();
  }

  boolean isUp() {
    return up;
  }

  Map<TaskRun, SimulatedRun> running() {
    return running;
  }

  long clockMillis(long nowMillis) {
    return (long) ((nowMillis - bornMillis) * clockRate) + 1;
  }

  MinionReport report(long nowMillis) {
    return MinionReport.newBuilder()
        .setLife(life())
        .setSequence(++sequence)
        .setService(WorkflowGenerator.SERVICE)
        .setAddress(id)
        .setDataCentre(dataCentre)
        .setRack(rack)
        .addLabels("a")
        .addLabels(rack)
        .setCapacity(capacity)
        .setDraining(draining)
        .setClockMillis(clockMillis(nowMillis))
        .build();
  }

  // -- faults

  void setSpeed(double newSpeed) {
    speed = newSpeed;
  }

  double speed() {
    return speed;
  }

  void setFailsAllTasks(boolean newFailsAllTasks) {
    failsAllTasks = newFailsAllTasks;
  }

  boolean failsAllTasks() {
    return failsAllTasks;
  }

  void drain() {
    draining = true;
  }

  void crash(long nowMillis) {
    up = false;
    for (SimulatedRun run : List.copyOf(running.values())) {
      running.remove(run.taskRun());
      observer.onEnd(this, run, RunEnd.Cause.LOST, nowMillis);
    }
  }

  void restart(long nowMillis) {
    up = true;
    draining = false;
    bornMillis = nowMillis;
    sequence = 0;
    highestToken = 0;
    leaseExpiryMillis = 0;
    lastEndNumber = 0;
    unacknowledgedEnds.clear();
    endMillisByNumber.clear();
    highestEndedRuns.clear();
  }

  // -- orders

  OrderOutcome start(Order.Start order, long token, long nowMillis) {
    if (token < highestToken) {
      return OrderOutcome.FENCED;
    }
    highestToken = token;
    TaskRun taskRun = order.taskRun();
    if (order.deadlineMillis() <= clockMillis(nowMillis)) {
      return OrderOutcome.TOO_LATE;
    }
    extendLease(order.deadlineMillis(), nowMillis);
    if (running.containsKey(taskRun)) {
      return OrderOutcome.DONE;
    }
    if (taskRun.run() <= highestEndedRuns.getOrDefault(taskOf(taskRun), 0)) {
      return OrderOutcome.OUTDATED_RUN;
    }
    running.put(taskRun, observer.onStart(this, order, nowMillis));
    return OrderOutcome.DONE;
  }

  OrderOutcome stop(TaskRun taskRun, long token, long nowMillis) {
    if (token < highestToken) {
      return OrderOutcome.FENCED;
    }
    highestToken = token;
    highestEndedRuns.merge(taskOf(taskRun), taskRun.run(), Math::max);
    SimulatedRun run = running.get(taskRun);
    if (run != null) {
      run.requestStop(nowMillis + STOP_DURATION_MILLIS);
    }
    return OrderOutcome.DONE;
  }

  boolean acceptsToken(long token) {
    return token >= highestToken;
  }

  RenewalResponse renew(Order.Renew order, long token, long nowMillis) {
    highestToken = token;
    if (order.deadlineMillis() > 0) {
      extendLease(order.deadlineMillis(), nowMillis);
    }
    acknowledgeEnds(order.recordedEndNumber());
    return renewalResponse(nowMillis);
  }

  // Ends before a lapse of the lease are not passed to the observer: their tasks may run again.
  private void acknowledgeEnds(long recordedEndNumber) {
    for (RenewalResponse.EndedTask end : List.copyOf(unacknowledgedEnds)) {
      if (end.number() <= recordedEndNumber) {
        unacknowledgedEnds.remove(end);
        Long endMillis = endMillisByNumber.remove(end.number());
        if (endMillis != null && lastLapseMillis < endMillis) {
          observer.onEndAcknowledged(end.taskRun(), end.cause(), endMillis);
        }
      }
    }
  }

  boolean hasUnacknowledgedEnds() {
    return !unacknowledgedEnds.isEmpty();
  }

  RenewalResponse renewalResponse(long nowMillis) {
    List<RenewalResponse.RunningTask> runningTasks = new ArrayList<>();
    for (SimulatedRun run : running.values()) {
      runningTasks.add(
          new RenewalResponse.RunningTask(
              run.taskRun(), run.checkpoint(), run.progressPercent(), -1));
    }
    return new RenewalResponse(
        clockMillis(nowMillis), bornMillis, runningTasks, unacknowledgedEnds);
  }

  private void extendLease(long deadlineMillis, long nowMillis) {
    long maxExpiryMillis = clockMillis(nowMillis) + MAX_LEASE_MILLIS;
    leaseExpiryMillis = Math.max(leaseExpiryMillis, Math.min(deadlineMillis, maxExpiryMillis));
  }

  // -- time

  void advance(long nowMillis, double elapsedMillis) {
    if (clockMillis(nowMillis) > leaseExpiryMillis) {
      lastLapseMillis = nowMillis;
      List.copyOf(running.values()).forEach(run -> end(run, RunEnd.Cause.LEASE_LAPSED, nowMillis));
    }
    Iterator<SimulatedRun> runs = List.copyOf(running.values()).iterator();
    while (runs.hasNext()) {
      SimulatedRun run = runs.next();
      run.advance(elapsedMillis * speed / observer.slowdown(run));
      if (nowMillis >= run.stopMillis()) {
        end(run, RunEnd.Cause.STOPPED, nowMillis);
      } else if (run.isWorking() && (failsAllTasks || run.hasFailed())) {
        end(run, RunEnd.Cause.TASK_FAILED, nowMillis);
      } else if (run.isCompleted()) {
        end(run, RunEnd.Cause.DONE, nowMillis);
      }
    }
  }

  void end(SimulatedRun run, RunEnd.Cause cause, long nowMillis) {
    if (running.remove(run.taskRun()) == null) {
      return;
    }
    highestEndedRuns.merge(taskOf(run.taskRun()), run.taskRun().run(), Math::max);
    endMillisByNumber.put(lastEndNumber + 1, nowMillis);
    unacknowledgedEnds.add(
        new RenewalResponse.EndedTask(
            ++lastEndNumber, run.taskRun(), cause, run.checkpoint(cause)));
    observer.onEnd(this, run, cause, nowMillis);
  }

  private static TaskRun taskOf(TaskRun taskRun) {
    return new TaskRun(
        taskRun.workflowId(), taskRun.occurrence(), taskRun.step(), taskRun.task(), 0);
  }
}
