package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickoryspar.kernel.dispatch.order.Order;
import org.hickoryspar.kernel.dispatch.order.OrderOutcome;
import org.hickoryspar.kernel.dispatch.order.RenewalResponse;
import org.hickoryspar.kernel.dispatch.order.TaskRun;
import org.hickoryspar.kernel.value.Resources;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.MinionReport;
import org.hickoryspar.protocol.RunEnd;
import org.hickoryspar.protocol.TaskDemand;

/** A minion with 8 accelerators that carries out orders while it is reachable. */
final class FakeMinion {

  static final Resources CAPACITY = new Resources(64_000, 256_000, 8);

  private final String id;
  private final String rack;
  private String service = DispatcherHarness.SERVICE;
  private String address;
  private long bornMillis;
  private long sequence;
  private boolean draining;
  private final List<String> labels = new ArrayList<>();
  private boolean reachable = true;
  private boolean respondsToStarts = true;
  private boolean respondsToStops = true;
  private boolean unhealthy;
  private final List<TaskRun> running = new ArrayList<>();
  private final Map<TaskRun, Integer> percentByRun = new HashMap<>();
  private final List<RenewalResponse.EndedTask> ended = new ArrayList<>();
  private final List<TaskRun> stops = new ArrayList<>();
  private final List<Order.Start> starts = new ArrayList<>();
  private final List<PendingRenewal> pendingRenewals = new ArrayList<>();
  private final List<Order.Renew> lostRenewals = new ArrayList<>();
  private Order.Renew lastRenewal;
  private long leaseDeadlineMillis;

  FakeMinion(String id, String rack, long bornMillis) {
    this.id = id;
    this.address = id;
    this.rack = rack;
    this.bornMillis = bornMillis;
  }

  long clockMillis(long nowMillis) {
    return nowMillis - bornMillis + 1;
  }

  MinionReport report(long nowMillis) {
    return MinionReport.newBuilder()
        .setLife(MinionLife.newBuilder().setMinionId(id).setBornMillis(bornMillis))
        .setSequence(++sequence)
        .setService(service)
        .setAddress(address)
        .setDataCentre("dc-" + rack)
        .setRack(rack)
        .setDraining(draining)
        .setClockMillis(clockMillis(nowMillis))
        .setCapacity(
            TaskDemand.newBuilder()
                .setCpuMillicores(CAPACITY.cpuMillicores())
                .setMemoryMegabytes(CAPACITY.memoryMegabytes())
                .setAccelerators((int) CAPACITY.accelerators()))
        .addAllLabels(labels)
        .build();
  }

  // -- orders

  /** Accepts a renewal, whose response may wait for the end of a task. */
  void renew(Order.Renew order, long nowMillis) {
    lastRenewal = order;
    leaseDeadlineMillis = Math.max(leaseDeadlineMillis, order.deadlineMillis());
    pendingRenewals.add(new PendingRenewal(order, nowMillis + order.waitMillis()));
  }

  /** Removes and returns the renewals whose connections are broken. */
  List<Order.Renew> takeLostRenewals() {
    if (!reachable) {
      losePendingRenewals();
    }
    List<Order.Renew> lost = List.copyOf(lostRenewals);
    lostRenewals.clear();
    return lost;
  }

  private void losePendingRenewals() {
    pendingRenewals.forEach(pending -> lostRenewals.add(pending.order));
    pendingRenewals.clear();
  }

  /** Removes and returns the renewals to which the minion now responds. */
  List<Order.Renew> takeDueRenewals(long nowMillis) {
    List<PendingRenewal> due =
        pendingRenewals.stream()
            .filter(
                pending ->
                    nowMillis >= pending.responseDueMillis
                        || !unrecordedEnds(pending.order).isEmpty())
            .toList();
    pendingRenewals.removeAll(due);
    return due.stream().map(PendingRenewal::order).toList();
  }

  RenewalResponse response(Order.Renew renewal, long nowMillis) {
    List<RenewalResponse.RunningTask> runningTasks =
        running.stream()
            .map(
                run ->
                    new RenewalResponse.RunningTask(run, "", percentByRun.getOrDefault(run, 0), -1))
            .toList();
    return new RenewalResponse(
        clockMillis(nowMillis), bornMillis, runningTasks, unrecordedEnds(renewal));
  }

  /** Starts a task unless starts are ignored. */
  OrderOutcome start(Order.Start order) {
    starts.add(order);
    if (!respondsToStarts) {
      return OrderOutcome.UNKNOWN;
    }
    if (unhealthy) {
      return OrderOutcome.UNHEALTHY;
    }
    leaseDeadlineMillis = Math.max(leaseDeadlineMillis, order.deadlineMillis());
    running.add(order.taskRun());
    return OrderOutcome.DONE;
  }

  /** Stops a task unless stops are ignored. */
  OrderOutcome stop(TaskRun taskRun) {
    stops.add(taskRun);
    if (!respondsToStops) {
      return OrderOutcome.UNKNOWN;
    }
    if (running.remove(taskRun)) {
      addEnd(taskRun, RunEnd.Cause.STOPPED);
    }
    return OrderOutcome.DONE;
  }

  // -- state

  private List<RenewalResponse.EndedTask> unrecordedEnds(Order.Renew order) {
    return ended.stream().filter(end -> end.number() > order.recordedEndNumber()).toList();
  }

  private void addEnd(TaskRun run, RunEnd.Cause cause) {
    ended.add(new RenewalResponse.EndedTask(ended.size() + 1, run, cause, ""));
  }

  /** Ends all running tasks if the lease has expired. */
  void endExpiredLease(long nowMillis) {
    if (clockMillis(nowMillis) > leaseDeadlineMillis) {
      running().forEach(run -> endTask(run, RunEnd.Cause.LEASE_LAPSED));
    }
  }

  /** Makes the minion unreachable and discards its running tasks. */
  void crash() {
    reachable = false;
    running.clear();
  }

  /** Starts the minion again under its identifier, without any of its earlier state. */
  void restart(long nowMillis) {
    bornMillis = nowMillis;
    sequence = 0;
    leaseDeadlineMillis = 0;
    draining = false;
    reachable = true;
    running.clear();
    ended.clear();
    starts.clear();
    losePendingRenewals();
  }

  void setService(String service) {
    this.service = service;
  }

  /** Moves the minion to another address; its identifier is its first one. */
  void setAddress(String address) {
    this.address = address;
  }

  String address() {
    return address;
  }

  /** Sets whether orders reach the minion; what runs on it goes on. */
  void setReachable(boolean reachable) {
    this.reachable = reachable;
  }

  MinionLife life() {
    return MinionLife.newBuilder().setMinionId(id).setBornMillis(bornMillis).build();
  }

  void addLabel(String label) {
    labels.add(label);
  }

  List<String> labels() {
    return labels;
  }

  boolean isDraining() {
    return draining;
  }

  void startDraining() {
    draining = true;
  }

  /** Makes the minion reject all starts. */
  void becomeUnhealthy() {
    unhealthy = true;
  }

  void ignoreStarts() {
    respondsToStarts = false;
  }

  /** Starts a later run of a task that no order of the current leader asked for. */
  void startUnasked(String workflowId, int task) {
    running.add(new TaskRun(workflowId, 0, 0, task, 9));
  }

  void ignoreStops() {
    respondsToStops = false;
  }

  void respondToStarts() {
    respondsToStarts = true;
  }

  /** Sets the progress of a running task, which the next responses to renewals list. */
  void setProgress(TaskRun run, int percent) {
    percentByRun.put(run, percent);
  }

  void endTask(TaskRun run, RunEnd.Cause cause) {
    running.remove(run);
    addEnd(run, cause);
  }

  List<TaskRun> running() {
    return List.copyOf(running);
  }

  List<Order.Start> starts() {
    return starts;
  }

  List<TaskRun> stops() {
    return stops;
  }

  Order.Renew lastRenewal() {
    return lastRenewal;
  }

  String id() {
    return id;
  }

  String rack() {
    return rack;
  }

  boolean isReachable() {
    return reachable;
  }

  private record PendingRenewal(Order.Renew order, long responseDueMillis) {}
}
