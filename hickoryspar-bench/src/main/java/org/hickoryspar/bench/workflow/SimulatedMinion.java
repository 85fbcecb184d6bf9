package org.hickoryspar.bench.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hickoryspar.kernel.dispatch.Order;
import org.hickoryspar.kernel.dispatch.OrderOutcome;
import org.hickoryspar.kernel.dispatch.RenewalResponse;
import org.hickoryspar.kernel.dispatch.TaskRun;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.MinionReport;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.TaskDemand;

/**
 * A minion as the protocol describes it: a lease on its own clock, a fencing token, runs that are
 * never started twice, and ends that are listed until they are acknowledged.
 */
final class SimulatedMinion {

  private static final long MAX_LEASE_MILLIS = 6_000;
  private static final long STOP_MILLIS = 400;

  private final String id;
  private final String rack;
  private final String dataCentre;
  private final TaskDemand capacity;
  private final double clockRate;
  private final RunObserver observer;
  private long bornMillis;
  private long sequence;
  private long fence;
  private long leaseUntilMillis;
  private long lastEnd;
  private double speed = 1;
  private boolean failsAll;
  private boolean up = true;
  private boolean draining;
  private final Map<TaskRun, SimulatedRun> running = new LinkedHashMap<>();
  private final List<RenewalResponse.EndedTask> ended = new ArrayList<>();
  private final Map<TaskRun, Integer> highestOver = new HashMap<>();
  private final Map<Long, Long> endedMillis = new HashMap<>();
  private long lapsedMillis = Long.MIN_VALUE;

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

  /** Is asked what a start means and told what starts and ends. */
  interface RunObserver {

    /** Returns the run that an order starts, after it was checked. */
    SimulatedRun starting(SimulatedMinion minion, Order.Start order, long nowMillis);

    void ended(SimulatedMinion minion, SimulatedRun run, RunEnd.Cause cause, long nowMillis);

    /** The end of a run was acknowledged while the lease had held since then. */
    void noted(TaskRun taskRun, RunEnd.Cause cause, long endedMillis);

    /** Returns how much longer the work of a run takes for where it runs. */
    double slowdown(SimulatedRun run);
  }

  /** Returns another minion in its place. */
  SimulatedMinion successor(String suffix, long atMillis) {
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

  void setFailsAll(boolean fails) {
    failsAll = fails;
  }

  boolean failsAll() {
    return failsAll;
  }

  void drain() {
    draining = true;
  }

  void crash(long nowMillis) {
    up = false;
    for (SimulatedRun run : List.copyOf(running.values())) {
      running.remove(run.taskRun());
      observer.ended(this, run, RunEnd.Cause.LOST, nowMillis);
    }
  }

  void restart(long nowMillis) {
    up = true;
    draining = false;
    bornMillis = nowMillis;
    sequence = 0;
    fence = 0;
    leaseUntilMillis = 0;
    lastEnd = 0;
    ended.clear();
    endedMillis.clear();
    highestOver.clear();
  }

  // -- orders

  OrderOutcome start(Order.Start order, long token, long nowMillis) {
    if (token < fence) {
      return OrderOutcome.FENCED;
    }
    fence = token;
    TaskRun taskRun = order.taskRun();
    if (order.deadlineMillis() <= clockMillis(nowMillis)) {
      return OrderOutcome.TOO_LATE;
    }
    extend(order.deadlineMillis(), nowMillis);
    if (running.containsKey(taskRun)) {
      return OrderOutcome.DONE;
    }
    if (taskRun.run() <= highestOver.getOrDefault(withoutRun(taskRun), 0)) {
      return OrderOutcome.OUTDATED_RUN;
    }
    running.put(taskRun, observer.starting(this, order, nowMillis));
    return OrderOutcome.DONE;
  }

  OrderOutcome stop(TaskRun taskRun, long token, long nowMillis) {
    if (token < fence) {
      return OrderOutcome.FENCED;
    }
    fence = token;
    highestOver.merge(withoutRun(taskRun), taskRun.run(), Math::max);
    SimulatedRun run = running.get(taskRun);
    if (run != null) {
      run.stopAt(nowMillis + STOP_MILLIS);
    }
    return OrderOutcome.DONE;
  }

  boolean accepts(long token) {
    return token >= fence;
  }

  RenewalResponse renew(Order.Renew order, long token, long nowMillis) {
    fence = token;
    if (order.deadlineMillis() > 0) {
      extend(order.deadlineMillis(), nowMillis);
    }
    acknowledge(order.recordedEndNumber());
    return answer(nowMillis);
  }

  // An end that is acknowledged after the lease has lapsed is not noted: its task may run again.
  private void acknowledge(long lastSeen) {
    for (RenewalResponse.EndedTask end : List.copyOf(ended)) {
      if (end.number() <= lastSeen) {
        ended.remove(end);
        Long atMillis = endedMillis.remove(end.number());
        if (atMillis != null && lapsedMillis < atMillis) {
          observer.noted(end.taskRun(), end.cause(), atMillis);
        }
      }
    }
  }

  boolean hasEnds() {
    return !ended.isEmpty();
  }

  RenewalResponse answer(long nowMillis) {
    List<RenewalResponse.RunningTask> rows = new ArrayList<>();
    for (SimulatedRun run : running.values()) {
      rows.add(new RenewalResponse.RunningTask(run.taskRun(), run.checkpoint(), run.percent(), -1));
    }
    return new RenewalResponse(clockMillis(nowMillis), bornMillis, rows, ended);
  }

  private void extend(long deadlineMillis, long nowMillis) {
    long most = clockMillis(nowMillis) + MAX_LEASE_MILLIS;
    leaseUntilMillis = Math.max(leaseUntilMillis, Math.min(deadlineMillis, most));
  }

  // -- time

  void advance(long nowMillis, double elapsedMillis) {
    if (clockMillis(nowMillis) > leaseUntilMillis) {
      lapsedMillis = nowMillis;
      List.copyOf(running.values()).forEach(run -> end(run, RunEnd.Cause.LEASE_LAPSED, nowMillis));
    }
    Iterator<SimulatedRun> runs = List.copyOf(running.values()).iterator();
    while (runs.hasNext()) {
      SimulatedRun run = runs.next();
      run.advance(elapsedMillis * speed / observer.slowdown(run));
      if (nowMillis >= run.stopMillis()) {
        end(run, RunEnd.Cause.STOPPED, nowMillis);
      } else if (run.isWorking() && (failsAll || run.isFailing())) {
        end(run, RunEnd.Cause.TASK_FAILED, nowMillis);
      } else if (run.isDone()) {
        end(run, RunEnd.Cause.DONE, nowMillis);
      }
    }
  }

  void end(SimulatedRun run, RunEnd.Cause cause, long nowMillis) {
    if (running.remove(run.taskRun()) == null) {
      return;
    }
    highestOver.merge(withoutRun(run.taskRun()), run.taskRun().run(), Math::max);
    endedMillis.put(lastEnd + 1, nowMillis);
    ended.add(
        new RenewalResponse.EndedTask(++lastEnd, run.taskRun(), cause, run.checkpoint(cause)));
    observer.ended(this, run, cause, nowMillis);
  }

  private static TaskRun withoutRun(TaskRun taskRun) {
    return new TaskRun(
        taskRun.workflowId(), taskRun.occurrence(), taskRun.step(), taskRun.task(), 0);
  }
}
