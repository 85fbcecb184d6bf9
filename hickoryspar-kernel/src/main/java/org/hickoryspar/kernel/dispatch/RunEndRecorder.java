package org.hickoryspar.kernel.dispatch;

import org.hickoryspar.kernel.runtime.RunTimeDistribution;
import org.hickoryspar.protocol.RunEnd;

/** Proposes the ends of tasks to the replicated log and releases their resources. */
final class RunEndRecorder {

  private final RunTable runs;
  private final Outbox outbox;
  private final MinionFailureTracker failureTracker;
  private final MinionSpeedTracker speedTracker;
  private final RunTimeEstimates runTimeEstimates;
  private final DispatchListener listener;

  RunEndRecorder(
      RunTable runs,
      Outbox outbox,
      MinionFailureTracker failureTracker,
      MinionSpeedTracker speedTracker,
      RunTimeEstimates runTimeEstimates,
      DispatchListener listener) {
    this.runs = runs;
    this.outbox = outbox;
    this.failureTracker = failureTracker;
    this.speedTracker = speedTracker;
    this.runTimeEstimates = runTimeEstimates;
    this.listener = listener;
  }

  /** Records an end that the minion has reported. */
  void recordReportedEnd(Member member, RunEnd.Cause cause, String checkpoint, long nowMillis) {
    ActiveRun run = member.run();
    long ranMillis = run.runningMillis(nowMillis);
    // The members of a gang end together; only the first end is reported because it shows the
    // cause.
    boolean isFirstEnd = run.members().stream().noneMatch(Member::isEnded);
    if (isFirstEnd) {
      listener.onEvent(
          DispatchEventKind.TASK_ENDED,
          member.taskRun().toString(),
          "cause",
          cause,
          "minion",
          member.minion().id(),
          "percent",
          member.progress().percent(),
          "members",
          run.members().size(),
          "ranMillis",
          ranMillis,
          "expectedMillis",
          runTimeEstimates.initialExpectation(run).medianMillis());
    }
    if (cause == RunEnd.Cause.TASK_FAILED) {
      failureTracker.recordFailure(member, nowMillis);
    } else if (cause == RunEnd.Cause.DONE) {
      failureTracker.recordSuccess(member, nowMillis);
      speedTracker.recordCompletion(member, nowMillis);
    }
    boolean isWholeRun = isFirstEnd && cause == RunEnd.Cause.DONE && run.isWhole() && ranMillis > 0;
    if (isWholeRun) {
      recordRunTime(run, ranMillis);
    }
    recordEnd(member, cause, checkpoint, isWholeRun ? ranMillis : 0);
  }

  private void recordRunTime(ActiveRun run, long ranMillis) {
    RunTimeDistribution expected = runTimeEstimates.initialExpectation(run);
    listener.onWholeRunEnded(
        run.workflow().queue().getPriority(), expected.basis(), ranMillis, expected.medianMillis());
    runTimeEstimates.recordCompletion(run, ranMillis);
  }

  /** Records the loss of a task that does not run and can no longer start on its minion. */
  void recordLoss(Member member, String reason) {
    if (member.isEnded()) {
      return;
    }
    listener.onEvent(
        DispatchEventKind.TASK_LOST,
        member.taskRun().toString(),
        "reason",
        reason,
        "minion",
        member.minion().id(),
        "confirmed",
        member.isConfirmed(),
        "percent",
        member.progress().percent());
    recordEnd(member, RunEnd.Cause.LOST, member.checkpoint(), 0);
  }

  private void recordEnd(Member member, RunEnd.Cause cause, String checkpoint, long runMillis) {
    member.markEnded();
    runs.release(member);
    outbox.propose(member.run().endEvent(member, cause, checkpoint, runMillis));
    // The other members of a gang cannot continue without this one.
    if (cause != RunEnd.Cause.DONE) {
      member.run().requestStop();
    }
  }
}
