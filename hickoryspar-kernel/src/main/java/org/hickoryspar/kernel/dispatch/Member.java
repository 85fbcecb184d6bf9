package org.hickoryspar.kernel.dispatch;

import org.hickoryspar.kernel.dispatch.order.TaskRun;
import org.hickoryspar.kernel.minion.TaskProgress;
import org.hickoryspar.kernel.value.Resources;

/** A task of an active run on its minion, with the state of its orders. */
final class Member {

  static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  private final ActiveRun run;
  private final int index;
  private final Resources demand;
  private Minion minion;

  /** Whether the replicated log has recorded the start, so that the order may be sent. */
  private boolean startRecorded;

  /**
   * Whether an earlier leader recorded the start, or the minion has restarted since; it is then
   * unknown whether the task runs.
   */
  private boolean inherited;

  private final OrderState start = new OrderState();
  private OrderState stop = new OrderState();
  private boolean stopRequested;
  private long confirmedMillis = NEVER_MILLIS;
  private long startDeadlineMillis;
  private long startExpiredMillis = NEVER_MILLIS;
  private boolean ended;
  private String checkpoint;
  private final TaskProgress progress = new TaskProgress();

  Member(ActiveRun run, int index, Minion minion, Resources demand) {
    this.run = run;
    this.index = index;
    this.minion = minion;
    this.demand = demand;
    this.checkpoint = run.checkpoint();
  }

  ActiveRun run() {
    return run;
  }

  int index() {
    return index;
  }

  Resources demand() {
    return demand;
  }

  Minion minion() {
    return minion;
  }

  /**
   * Moves the member to a new life of its minion. The deadline of its start is on the clock of the
   * previous life; and if a start may still reach the new one, what the previous one has confirmed
   * or stopped does not settle it.
   */
  void moveTo(Minion newLife) {
    minion.remove(this);
    minion = newLife;
    startExpiredMillis = NEVER_MILLIS;
    if (start.mayStillTakeEffect()) {
      stop = new OrderState();
      confirmedMillis = NEVER_MILLIS;
    }
    newLife.add(this);
  }

  TaskRun taskRun() {
    return run.taskRun(index);
  }

  boolean isStartRecorded() {
    return startRecorded;
  }

  void markStartRecorded() {
    startRecorded = true;
  }

  boolean isInherited() {
    return inherited;
  }

  /** Marks the start as inherited; the next response of the minion shows whether the task runs. */
  void markInherited() {
    startRecorded = true;
    inherited = true;
    confirmedMillis = NEVER_MILLIS;
  }

  OrderState start() {
    return start;
  }

  OrderState stop() {
    return stop;
  }

  boolean isStopRequested() {
    return stopRequested;
  }

  void requestStop() {
    stopRequested = true;
  }

  boolean isConfirmed() {
    return confirmedMillis != NEVER_MILLIS;
  }

  /** Returns when the minion first confirmed that the task runs. */
  long confirmedMillis() {
    return confirmedMillis;
  }

  void confirmRunning(long nowMillis) {
    if (!isConfirmed()) {
      confirmedMillis = nowMillis;
    }
    inherited = false;
  }

  long startDeadlineMillis() {
    return startDeadlineMillis;
  }

  void extendStartDeadline(long deadlineMillis) {
    startDeadlineMillis = Math.max(startDeadlineMillis, deadlineMillis);
  }

  /** Marks the deadline of every start that was sent as certainly past on the minion's clock. */
  void markStartExpired(long nowMillis) {
    startExpiredMillis = nowMillis;
  }

  boolean isStartExpired() {
    return startExpiredMillis != NEVER_MILLIS;
  }

  /**
   * Returns whether a response to a renewal that was sent at a given time shows what became of the
   * task: it runs or has ended if the response lists it, and otherwise can no longer start there.
   */
  boolean isSettledBy(long renewalSentMillis) {
    // The start was confirmed, or its stop carried out, before the renewal was sent. The same holds
    // for starts of earlier leaders and sessions because the renewal carried the higher fencing
    // token of this session, and for a start whose deadline had passed by then.
    return inherited
        || (isConfirmed() && confirmedMillis < renewalSentMillis)
        || (stop.isDone() && stop.doneMillis() < renewalSentMillis)
        || (isStartExpired() && startExpiredMillis < renewalSentMillis);
  }

  /** Returns whether the task has ended, even if the log has not recorded the end yet. */
  boolean isEnded() {
    return ended;
  }

  void markEnded() {
    ended = true;
  }

  String checkpoint() {
    return checkpoint;
  }

  TaskProgress progress() {
    return progress;
  }

  /** Updates the progress and the checkpoint from a report of the minion. */
  void update(int percent, String newCheckpoint, long nowMillis) {
    // A gang makes progress only while all its members run.
    if (run.isConfirmed()) {
      progress.update(percent, nowMillis);
    }
    if (!newCheckpoint.isEmpty()) {
      checkpoint = newCheckpoint;
    }
  }
}
