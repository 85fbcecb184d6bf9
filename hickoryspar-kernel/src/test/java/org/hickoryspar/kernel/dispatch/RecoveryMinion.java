package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
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
 * A minion that enforces fencing tokens, deadlines, run numbers, leases and its capacity. Its clock
 * starts at 0 with each life.
 */
final class RecoveryMinion {

  static final int ACCELERATORS = 8;

  private static final int CPU_MILLICORES = 64_000;
  private static final int MEMORY_MEGABYTES = 256_000;

  private final String id;
  private final String rack;
  private long bornMillis;
  private long sequence;
  private boolean up = true;
  private long highestToken;
  private long leaseUntilMillis;
  private final Map<TaskRun, Integer> acceleratorsByRun = new LinkedHashMap<>();
  private final Map<String, Integer> highestEndedRunByTask = new HashMap<>();
  private final List<RenewalResponse.EndedTask> ended = new ArrayList<>();
  private int endCount;
  private int lapsedEndNumber;

  RecoveryMinion(String id, String rack, long bornMillis) {
    this.id = id;
    this.rack = rack;
    this.bornMillis = bornMillis;
  }

  // -- orders

  /** Extends the lease unless a higher fencing token was seen; returns whether it was accepted. */
  boolean renew(Order.Renew order, long token, long nowMillis) {
    if (token < highestToken) {
      return false;
    }
    highestToken = token;
    if (order.target().life().equals(life())) {
      leaseUntilMillis = Math.max(leaseUntilMillis, order.deadlineMillis());
      ended.removeIf(end -> end.number() <= order.recordedEndNumber());
    }
    killIfLapsed(nowMillis);
    return true;
  }

  RenewalResponse response(long nowMillis) {
    List<RenewalResponse.RunningTask> running =
        acceleratorsByRun.keySet().stream()
            .map(run -> new RenewalResponse.RunningTask(run, "", 0, -1))
            .toList();
    return new RenewalResponse(clockMillis(nowMillis), bornMillis, running, ended);
  }

  OrderOutcome start(Order.Start order, int accelerators, long token, long nowMillis) {
    TaskRun run = order.taskRun();
    if (token < highestToken) {
      return OrderOutcome.FENCED;
    }
    highestToken = token;
    if (acceleratorsByRun.containsKey(run)) {
      return OrderOutcome.DONE;
    }
    if (clockMillis(nowMillis) > order.deadlineMillis()) {
      return OrderOutcome.TOO_LATE;
    }
    leaseUntilMillis = Math.max(leaseUntilMillis, order.deadlineMillis());
    if (run.run() <= highestEndedRunByTask.getOrDefault(taskOf(run), 0)) {
      return OrderOutcome.OUTDATED_RUN;
    }
    if (usedAccelerators() + accelerators > ACCELERATORS) {
      return OrderOutcome.NO_ROOM;
    }
    acceleratorsByRun.put(run, accelerators);
    return OrderOutcome.DONE;
  }

  OrderOutcome stop(TaskRun run, long token) {
    if (token < highestToken) {
      return OrderOutcome.FENCED;
    }
    highestToken = token;
    if (acceleratorsByRun.containsKey(run)) {
      endTask(run, RunEnd.Cause.STOPPED);
    } else {
      highestEndedRunByTask.merge(taskOf(run), run.run(), Math::max);
    }
    return OrderOutcome.DONE;
  }

  // -- tasks

  void endTask(TaskRun run, RunEnd.Cause cause) {
    acceleratorsByRun.remove(run);
    highestEndedRunByTask.merge(taskOf(run), run.run(), Math::max);
    endCount++;
    ended.add(new RenewalResponse.EndedTask(endCount, run, cause, ""));
  }

  void killIfLapsed(long nowMillis) {
    if (clockMillis(nowMillis) > leaseUntilMillis) {
      running().forEach(run -> endTask(run, RunEnd.Cause.LEASE_LAPSED));
      lapsedEndNumber = endCount;
    }
  }

  List<TaskRun> running() {
    return List.copyOf(acceleratorsByRun.keySet());
  }

  List<RenewalResponse.EndedTask> ended() {
    return List.copyOf(ended);
  }

  /** Returns the number of the last end that was listed before the lease lapsed, 0 for none. */
  int lapsedEndNumber() {
    return lapsedEndNumber;
  }

  int usedAccelerators() {
    return acceleratorsByRun.values().stream().mapToInt(Integer::intValue).sum();
  }

  /** Returns the name of a task without the number of its run. */
  static String taskOf(TaskRun run) {
    return run.workflowId() + '.' + run.occurrence() + '.' + run.step() + '.' + run.task();
  }

  // -- life

  void crash() {
    up = false;
    acceleratorsByRun.clear();
  }

  /** Starts the minion again under its identifier, without any of its earlier state. */
  void restart(long nowMillis) {
    crash();
    up = true;
    bornMillis = nowMillis;
    sequence = 0;
    highestToken = 0;
    leaseUntilMillis = 0;
    highestEndedRunByTask.clear();
    ended.clear();
    endCount = 0;
    lapsedEndNumber = 0;
  }

  boolean isUp() {
    return up;
  }

  String id() {
    return id;
  }

  MinionLife life() {
    return MinionLife.newBuilder().setMinionId(id).setBornMillis(bornMillis).build();
  }

  private long clockMillis(long nowMillis) {
    return nowMillis - bornMillis + 1;
  }

  MinionReport report(long nowMillis) {
    return MinionReport.newBuilder()
        .setLife(life())
        .setSequence(++sequence)
        .setService(DispatcherHarness.SERVICE)
        .setAddress(id)
        .setDataCentre("dc-" + rack)
        .setRack(rack)
        .setClockMillis(clockMillis(nowMillis))
        .setCapacity(
            TaskDemand.newBuilder()
                .setCpuMillicores(CPU_MILLICORES)
                .setMemoryMegabytes(MEMORY_MEGABYTES)
                .setAccelerators(ACCELERATORS))
        .build();
  }
}
