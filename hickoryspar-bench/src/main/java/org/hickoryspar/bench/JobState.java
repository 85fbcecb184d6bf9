package org.hickoryspar.bench;

import java.util.List;
import org.hickoryspar.kernel.scheduling.JobRequest;

/** What the fake platform knows of one job while it runs a workload. */
final class JobState {

  enum Phase {
    WAITING,
    PREPARING,
    RUNNING,
    STOPPING,
    ENDED
  }

  private final JobModel plan;
  private Phase phase = Phase.WAITING;
  private List<String> workers = List.of();
  private int attempt;
  private long savedMillis;
  private long startedMicros;
  private long restoreMillis;
  private boolean everStarted;
  private boolean capacityAtSubmission;
  private boolean cancelled;

  JobState(JobModel plan) {
    this.plan = plan;
  }

  String id() {
    return plan.request().jobId();
  }

  JobRequest request() {
    return plan.request();
  }

  JobModel plan() {
    return plan;
  }

  Phase phase() {
    return phase;
  }

  List<String> workers() {
    return workers;
  }

  int attempt() {
    return attempt;
  }

  boolean isStopping() {
    return phase == Phase.STOPPING;
  }

  boolean holdsResources() {
    return phase == Phase.PREPARING || phase == Phase.RUNNING || phase == Phase.STOPPING;
  }

  boolean wasStarted() {
    return everStarted;
  }

  boolean hadCapacityAtSubmission() {
    return capacityAtSubmission;
  }

  void setCapacityAtSubmission(boolean capacity) {
    capacityAtSubmission = capacity;
  }

  void placed(List<String> placement) {
    phase = Phase.PREPARING;
    workers = placement;
    attempt++;
    startedMicros = Long.MAX_VALUE;
  }

  void started(long nowMicros, long restoreMillisNow) {
    phase = Phase.RUNNING;
    startedMicros = nowMicros;
    restoreMillis = savedMillis > 0 ? restoreMillisNow : 0;
    everStarted = true;
  }

  /** A job that is cancelled while it is being preempted must not be queued again. */
  void cancel() {
    cancelled = true;
  }

  boolean isCancelled() {
    return cancelled;
  }

  void stopping() {
    phase = Phase.STOPPING;
  }

  void released(boolean queuedAgain) {
    phase = queuedAgain ? Phase.WAITING : Phase.ENDED;
    workers = List.of();
  }

  /** A job that uses more than it declared runs slower, because the platform throttles it. */
  double slowdown() {
    return plan.usageRatio() > 1.2 ? plan.usageRatio() : 1;
  }

  long savedMillis() {
    return savedMillis;
  }

  /** Returns the work done so far, in milliseconds of the job's true run time. */
  long progressMillis(long nowMicros) {
    if (startedMicros > nowMicros) {
      return savedMillis;
    }
    long elapsedMillis = Math.max(0, (nowMicros - startedMicros) / 1000 - restoreMillis);
    return Math.min(plan.runMillis(), savedMillis + (long) (elapsedMillis / slowdown()));
  }

  /** Keeps the work done so far; the job continues from it after an interruption. */
  void save(long nowMicros) {
    long progress = progressMillis(nowMicros);
    long elapsed = startedMicros > nowMicros ? 0 : nowMicros - startedMicros;
    if (elapsed / 1000 > restoreMillis) {
      startedMicros = nowMicros;
      restoreMillis = 0;
    }
    savedMillis = progress;
  }

  long remainingMicros() {
    return restoreMillis * 1000 + (long) ((plan.runMillis() - savedMillis) * slowdown() * 1000);
  }
}
