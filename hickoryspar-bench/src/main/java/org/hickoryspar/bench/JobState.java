package org.hickoryspar.bench;

import java.util.List;
import org.hickoryspar.kernel.scheduling.JobRequest;

/** The state of a job during a simulation. */
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

  /** Marks the job as cancelled, so that a preemption in progress does not queue it again. */
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

  /** Returns the factor by which the platform slows down a job that exceeds its declared size. */
  double slowdown() {
    return model.usageRatio() > 1.2 ? model.usageRatio() : 1;
  }

  long checkpointedMillis() {
    return checkpointedMillis;
  }

  /** Returns the completed work, in milliseconds of the job's true run time. */
  long completedWorkMillis(long nowMicros) {
    if (startedMicros > nowMicros) {
      return checkpointedMillis;
    }
    long elapsedMillis = Math.max(0, (nowMicros - startedMicros) / 1000 - restoreMillis);
    return Math.min(model.runMillis(), checkpointedMillis + (long) (elapsedMillis / slowdown()));
  }

  /** Saves the completed work, from which the job resumes after an interruption. */
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
