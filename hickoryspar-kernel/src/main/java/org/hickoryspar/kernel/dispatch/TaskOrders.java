package org.hickoryspar.kernel.dispatch;

import org.hickoryspar.kernel.workflow.Workflow;

/** Sends starts and stops until they are answered. */
final class TaskOrders {

  private final DispatchSettings settings;
  private final RunTable runs;
  private final Outbox outbox;
  private final RunEndRecorder ends;
  private final DispatchListener listener;

  TaskOrders(
      DispatchSettings settings,
      RunTable runs,
      Outbox outbox,
      RunEndRecorder ends,
      DispatchListener listener) {
    this.settings = settings;
    this.runs = runs;
    this.outbox = outbox;
    this.ends = ends;
    this.listener = listener;
  }

  /** Sends what is due. */
  void advance(long nowMillis) {
    for (ActiveRun run : java.util.List.copyOf(runs.runs())) {
      for (Member member : run.members()) {
        if (!member.isEnded() && member.isRecorded() && member.minion().isAddressKnown()) {
          advance(member, nowMillis);
        }
      }
    }
  }

  private void advance(Member member, long nowMillis) {
    if (member.isStopWanted()) {
      if (!member.isInherited() && !member.isConfirmed() && !member.start().wasSent()) {
        ends.lost(member, "stopped before its start was sent");
      } else if (!member.stop().isDone() && isDue(member.stop(), nowMillis)) {
        member.stop().send(nowMillis);
        outbox.order(new Order.Stop(member.minion().target(), member.taskRun()));
      }
    } else if (mayStart(member) && isDue(member.start(), nowMillis)) {
      start(member, nowMillis);
    }
  }

  // A start renews the lease of its minion, so a minion that does not answer gets none.
  private static boolean mayStart(Member member) {
    return !member.isInherited() && !member.isConfirmed() && !member.minion().lease().isSuspect();
  }

  private boolean isDue(OrderState order, long nowMillis) {
    return !order.isOutstanding()
        || nowMillis - order.lastSentMillis() >= settings.answerTimeoutMillis();
  }

  private void start(Member member, long nowMillis) {
    Minion minion = member.minion();
    long deadline = minion.clock().estimate(nowMillis) + settings.startValidMillis();
    member.startDeadline(deadline);
    minion.lease().granted(deadline);
    member.start().send(nowMillis);
    minion.lateStarts().sent(member.taskRun(), nowMillis);
    Workflow workflow = member.run().workflow();
    outbox.order(
        new Order.Start(
            minion.target(),
            member.taskRun(),
            workflow.spec().getPayload(),
            member.run().checkpoint(),
            "",
            deadline));
  }

  void startAnswered(Member member, OrderOutcome outcome, long nowMillis) {
    if (outcome != OrderOutcome.UNKNOWN) {
      member.minion().lateStarts().answered(member.taskRun());
    }
    switch (outcome) {
      case DONE -> {
        member.start().done(nowMillis);
        member.confirm(nowMillis);
      }
      case UNKNOWN ->
          // The order stays outstanding and is sent again when its time is up.
          member.minion().lease().orderUnanswered();
      case TOO_LATE -> member.start().answered();
      case OUTDATED_RUN -> {
        // It was there before; the next answer to a renewal lists its end, or nothing.
        member.start().done(nowMillis);
        member.confirm(nowMillis);
      }
      default -> {
        member.start().answered();
        listener.happened(
            DispatchEventKind.START_REJECTED,
            member.taskRun().toString(),
            "outcome",
            outcome,
            "minion",
            member.minion().id());
        member.run().wantStop();
      }
    }
  }

  void stopAnswered(Member member, OrderOutcome outcome, long nowMillis) {
    if (outcome == OrderOutcome.DONE) {
      member.stop().done(nowMillis);
    } else if (outcome == OrderOutcome.OTHER_MINION) {
      ends.lost(member, "another minion answers at its address");
    } else if (outcome != OrderOutcome.UNKNOWN) {
      member.stop().answered();
    }
  }
}
