package org.hickoryspar.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.hickoryspar.kernel.scheduling.Decision;
import org.hickoryspar.kernel.scheduling.EndReason;
import org.hickoryspar.kernel.scheduling.GuaranteeReport;
import org.hickoryspar.kernel.scheduling.JobRequest;
import org.hickoryspar.kernel.scheduling.RunningGang;
import org.hickoryspar.kernel.scheduling.Scheduler;
import org.hickoryspar.kernel.scheduling.SchedulingConfig;
import org.hickoryspar.kernel.scheduling.WorkerState;
import org.hickoryspar.kernel.value.Result;

/** Returns scripted decisions, one per submitted job, regardless of the state. */
final class ScriptedScheduler implements Scheduler {

  private final Deque<Decision> script;
  private final List<String> endedGangs = new ArrayList<>();
  private int pendingDecisions;

  ScriptedScheduler(List<Decision> script) {
    this.script = new ArrayDeque<>(script);
  }

  List<String> endedGangs() {
    return endedGangs;
  }

  @Override
  public Result<Long> check(SchedulingConfig config) {
    return Result.success(config.version());
  }

  @Override
  public void configure(SchedulingConfig config) {}

  @Override
  public void workerChanged(WorkerState worker) {}

  @Override
  public void workerRemoved(String workerId) {}

  @Override
  public void jobQueued(JobRequest job) {
    pendingDecisions++;
  }

  @Override
  public void jobRemoved(String jobId) {}

  @Override
  public void gangRecovered(RunningGang gang) {}

  @Override
  public void gangCheckpointed(String jobId, long nowMillis) {}

  @Override
  public void gangEnded(String jobId, EndReason reason, List<String> faulty, long nowMillis) {
    endedGangs.add(jobId + ' ' + reason);
  }

  @Override
  public List<Decision> decide(long nowMillis) {
    List<Decision> decisions = new ArrayList<>();
    for (; pendingDecisions > 0 && !script.isEmpty(); pendingDecisions--) {
      decisions.add(script.poll());
    }
    return decisions;
  }

  @Override
  public String explain(String jobId, long nowMillis) {
    return "";
  }

  @Override
  public List<GuaranteeReport> guarantees() {
    return List.of();
  }

  @Override
  public List<String> isolatedWorkers() {
    return List.of();
  }
}
