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

  private final JobModel model;
  private Phase phase = Phase.WAITING;
  private List<String> workers = List.of();
  private int attempt;
  private long checkpointedMillis;
  private long startedMicros;
  private long restoreMillis;
  private boolean started;
  private boolean capacityAtSubmission;
  private boolean cancelled;

  JobState(JobModel model) {
    this.model = model;
  }

  String id() {
    return model.request().jobId();
  }

  JobRequest request() {
    return model.request();
  }

  JobModel model() {
    return model;
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

  boolean hasStarted() {
    return started;
  }

  boolean hadCapacityAtSubmission() {
    return capacityAtSubmission;
  }

  void setCapacityAtSubmission(boolean capacity) {
    capacityAtSubmission = capacity;
  }

  void markPlaced(List<String> placement) {
    phase = Phase.PREPARING;
    workers = placement;
    attempt++;
    startedMicros = Long.MAX_VALUE;
  }

  void markStarted(long nowMicros, long restoreIfCheckpointedMillis) {
    phase = Phase.RUNNING;
    startedMicros = nowMicros;
    restoreMillis = checkpointedMillis > 0 ? restoreIfCheckpointedMillis : 0;
    started = true;
  }

  /** A job that is cancelled while it is being preempted must not be queued again. */
  void markCancelled() {
    cancelled = true;
  }

  boolean isCancelled() {
    return cancelled;
  }

  void markStopping() {
    phase = Phase.STOPPING;
  }

  void markReleased(boolean requeued) {
    phase = requeued ? Phase.WAITING : Phase.ENDED;
    workers = List.of();
  }

  /** A job that uses more than it declared runs slower, because the platform throttles it. */
  double slowdown() {
    return model.usageRatio() > 1.2 ? model.usageRatio() : 1;
  }

  long checkpointedMillis() {
    return checkpointedMillis;
  }

  /** Returns the work done so far, in milliseconds of the job's true run time. */
  long completedWorkMillis(long nowMicros) {
    if (startedMicros > nowMicros) {
      return checkpointedMillis;
    }
    long elapsedMillis = Math.max(0, (nowMicros - startedMicros) / 1000 - restoreMillis);
    return Math.min(model.runMillis(), checkpointedMillis + (long) (elapsedMillis / slowdown()));
  }

  /** Keeps the work done so far; the job continues from it after an interruption. */
  void checkpoint(long nowMicros) {
    long completedMillis = completedWorkMillis(nowMicros);
    long elapsedMicros = startedMicros > nowMicros ? 0 : nowMicros - startedMicros;
    if (elapsedMicros / 1000 > restoreMillis) {
      startedMicros = nowMicros;
      restoreMillis = 0;
    }
    checkpointedMillis = completedMillis;
  }

  long remainingMicros() {
    return restoreMillis * 1000
        + (long) ((model.runMillis() - checkpointedMillis) * slowdown() * 1000);
  }
}
