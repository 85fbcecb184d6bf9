package org.hickoryspar.kernel.dispatch;

import org.hickoryspar.protocol.RunEnd;

/** Proposes the ends of tasks and frees their room. */
final class RunEndRecorder {

  private final RunTable runs;
  private final Outbox outbox;
  private final MinionFailureTracker failureTracker;
  private final RunTimeEstimates runTimeEstimates;
  private final DispatchListener listener;

  RunEndRecorder(
      RunTable runs,
      Outbox outbox,
      MinionFailureTracker failureTracker,
      RunTimeEstimates runTimeEstimates,
      DispatchListener listener) {
    this.runs = runs;
    this.outbox = outbox;
    this.failureTracker = failureTracker;
    this.runTimeEstimates = runTimeEstimates;
    this.listener = listener;
  }

  /** A minion listed an end. */
  void recordReportedEnd(Member member, RunEnd.Cause cause, String checkpoint, long nowMillis) {
    // The members of a gang end together; the first end tells why.
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
      runTimeEstimates.recordCompletion(member.run(), member.run().workedMillis(nowMillis));
    }
    recordEnd(member, cause, checkpoint);
  }

  /** A task can no longer run where it was started, and will not. */
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
    // The other members cannot go on alone.
    if (cause != RunEnd.Cause.DONE) {
      member.run().requestStop();
    }
  }
}
