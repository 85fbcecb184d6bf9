package org.hickoryspar.kernel.dispatch;

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
    // The members of a gang end together; only the first end is reported because it shows the
    // cause.
    if (member.run().members().stream().noneMatch(Member::isEnded)) {
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
          member.run().members().size());
    }
    if (cause == RunEnd.Cause.TASK_FAILED) {
      failureTracker.recordFailure(member, nowMillis);
    } else if (cause == RunEnd.Cause.DONE) {
      failureTracker.recordSuccess(member, nowMillis);
      speedTracker.recordCompletion(member, nowMillis);
      runTimeEstimates.recordCompletion(member.run(), member.run().runningMillis(nowMillis));
    }
    recordEnd(member, cause, checkpoint);
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
    recordEnd(member, RunEnd.Cause.LOST, member.checkpoint());
  }

  private void recordEnd(Member member, RunEnd.Cause cause, String checkpoint) {
    member.markEnded();
    runs.release(member);
    outbox.propose(member.run().endEvent(member, cause, checkpoint));
    // The other members of a gang cannot continue without this one.
    if (cause != RunEnd.Cause.DONE) {
      member.run().requestStop();
    }
  }
}
