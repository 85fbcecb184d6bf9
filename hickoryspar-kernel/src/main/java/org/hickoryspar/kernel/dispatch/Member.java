package org.hickoryspar.kernel.dispatch;

/** One task of an active run on its minion, and the orders that concern it. */
final class Member {

  static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

  private final ActiveRun run;
  private final int index;
  private final Room demand;
  private Minion minion;

  /** Whether the start of the run is recorded durably, so that it may be sent. */
  private boolean startRecorded;

  /** Whether an earlier leader recorded the start; whether it was sent is not known. */
  private boolean inherited;

  private final OrderState start = new OrderState();
  private final OrderState stop = new OrderState();
  private boolean stopRequested;
  private long confirmedMillis = NEVER_MILLIS;
  private long startDeadlineMillis;
  private boolean ended;
  private String checkpoint;
  private final TaskProgress progress = new TaskProgress();

  Member(ActiveRun run, int index, Minion minion, Room demand) {
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

  Room demand() {
    return demand;
  }

  Minion minion() {
    return minion;
  }

  void moveTo(Minion newLife) {
    minion.remove(this);
    minion = newLife;
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

  /** Leaves it to the next answer of the minion whether it runs the task. */
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

  /** Returns when the minion first said that it runs the task. */
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

  /** Returns whether the end is known, recorded or not. */
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

  /** Takes note of what the minion says of the task. */
  void update(int percent, String newCheckpoint, long nowMillis) {
    // A gang works only from the moment when all its members are there.
    if (run.isConfirmed()) {
      progress.update(percent, nowMillis);
    }
    if (!newCheckpoint.isEmpty()) {
      checkpoint = newCheckpoint;
    }
  }
}
