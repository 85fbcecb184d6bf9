package org.hickoryspar.kernel.dispatch;

import org.hickoryspar.kernel.dispatch.order.Order;
import org.hickoryspar.kernel.dispatch.order.OrderOutcome;
import org.hickoryspar.kernel.quota.TeamQuotas;
import org.hickoryspar.kernel.workflow.Workflow;

/** Sends start and stop orders and retransmits them until a response arrives. */
final class TaskOrderSender {

  /**
   * A run is given up after this many starts of a task without a response from a minion that
   * responds to renewals.
   */
  static final int MAX_UNANSWERED_STARTS = 3;

  private final DispatchSettings settings;
  private final RunTable runs;
  private final Outbox outbox;
  private final RunEndRecorder endRecorder;
  private final TeamQuotas quotas;
  private final DispatchListener listener;

  TaskOrderSender(
      DispatchSettings settings,
      RunTable runs,
      Outbox outbox,
      RunEndRecorder endRecorder,
      TeamQuotas quotas,
      DispatchListener listener) {
    this.settings = settings;
    this.runs = runs;
    this.outbox = outbox;
    this.endRecorder = endRecorder;
    this.quotas = quotas;
    this.listener = listener;
  }

  /** Sends the orders that are due for a transmission or retransmission. */
  void advance(long nowMillis) {
    for (ActiveRun run : java.util.List.copyOf(runs.runs())) {
      for (Member member : run.members()) {
        if (!member.isEnded() && member.isStartRecorded() && member.minion().isAddressKnown()) {
          advance(member, nowMillis);
        }
      }
    }
  }

  private void advance(Member member, long nowMillis) {
    boolean startDue =
        !member.isStopRequested() && mayStart(member) && isDue(member.start(), nowMillis);
    if (startDue && quotas.isExceeded(member.run().team(), member.run().declaredDemand())) {
      withdraw(member.run());
    }
    if (member.isStopRequested()) {
      checkStartDeadline(member, nowMillis);
      if (!member.isInherited() && !member.isConfirmed() && !member.start().wasSent()) {
        endRecorder.recordLoss(member, "stopped before its start was sent");
      } else if (!member.stop().isDone() && isDue(member.stop(), nowMillis)) {
        member.stop().markSent(nowMillis);
        outbox.send(new Order.Stop(member.minion().target(), member.taskRun()));
      }
    } else if (startDue) {
      sendOrGiveUp(member, nowMillis);
    }
  }

  private void sendOrGiveUp(Member member, long nowMillis) {
    if (member.start().unansweredInARow() < MAX_UNANSWERED_STARTS) {
      sendStart(member, nowMillis);
    } else if (hasRespondedSince(member.start().firstSentMillis(), member.minion())) {
      giveUp(member, nowMillis);
    }
  }

  // The quota of the team was lowered after the start was decided.
  private void withdraw(ActiveRun run) {
    run.requestStop();
    listener.onEvent(
        DispatchEventKind.RUN_STOPPING,
        run.taskRun(0).toString(),
        "because",
        "it has not started, and team " + run.team() + " now has more in use than its quota");
  }

  // A start without a response may still take effect until its deadline. A renewal that is sent
  // after that shows whether the task runs, also if the stop gets no response.
  private static void checkStartDeadline(Member member, long nowMillis) {
    boolean expired =
        !member.isInherited()
            && !member.isConfirmed()
            && member.start().wasSent()
            && member.minion().clock().isKnown()
            && member.minion().clock().lowerBoundMillis(nowMillis) > member.startDeadlineMillis();
    if (expired && !member.isStartExpired()) {
      member.markStartExpired(nowMillis);
      // The task is placed anew now, and must not probe the minion that has just held it.
      member.minion().health().recordExpiredStart(nowMillis);
    }
  }

  // Whether a minion without any response has ended its tasks is known from its lease.
  private static boolean hasRespondedSince(long timeMillis, Minion minion) {
    return minion.lease().lastResponseMillis() > timeMillis;
  }

  private void giveUp(Member member, long nowMillis) {
    Minion minion = member.minion();
    minion.health().recordUnansweredStarts(nowMillis);
    member.run().requestStop();
    listener.onEvent(
        DispatchEventKind.START_GIVEN_UP,
        member.taskRun().toString(),
        "minion",
        minion.id(),
        "starts",
        member.start().unansweredInARow(),
        "sinceMillis",
        nowMillis - member.start().firstSentMillis(),
        "members",
        member.run().members().size(),
        "avoidedMillis",
        minion.health().remainingIsolationMillis(nowMillis));
  }

  // A start extends the lease of its minion, so none is sent to a minion that does not respond, nor
  // to one whose clock is unknown.
  private static boolean mayStart(Member member) {
    Minion minion = member.minion();
    return !member.isInherited()
        && !member.isConfirmed()
        && !minion.lease().isSuspect()
        && minion.clock().isKnown();
  }

  private boolean isDue(OrderState order, long nowMillis) {
    return !order.isOutstanding()
        || nowMillis - order.lastSentMillis() >= settings.responseTimeoutMillis();
  }

  private void sendStart(Member member, long nowMillis) {
    Minion minion = member.minion();
    long deadlineMillis = minion.clock().estimateMillis(nowMillis) + settings.startValidityMillis();
    member.extendStartDeadline(deadlineMillis);
    minion.lease().extendGrant(deadlineMillis);
    member.start().markSent(nowMillis);
    minion.unansweredStarts().recordSent(member.taskRun(), nowMillis);
    Workflow workflow = member.run().workflow();
    outbox.send(
        new Order.Start(
            minion.target(),
            member.taskRun(),
            workflow.spec().getPayload(),
            member.run().checkpoint(),
            "",
            deadlineMillis));
  }

  void handleStartOutcome(Member member, OrderOutcome outcome, long nowMillis) {
    if (outcome != OrderOutcome.UNKNOWN) {
      member.minion().unansweredStarts().recordResponse(member.taskRun());
      member.minion().health().recordStartResponse();
    }
    switch (outcome) {
      case DONE -> {
        member.start().markDone(nowMillis);
        member.confirmRunning(nowMillis);
      }
      case UNKNOWN -> {
        // The order stays outstanding and is retransmitted after the response timeout.
        member.start().markUnanswered();
        member.minion().lease().recordUnansweredOrder();
      }
      case TOO_LATE -> member.start().markAnswered();
      case OUTDATED_RUN -> {
        // The minion had this run before. The next renewal response lists its end or omits the run,
        // which is then recorded as lost.
        member.start().markDone(nowMillis);
        member.confirmRunning(nowMillis);
      }
      default -> {
        member.start().markAnswered();
        listener.onEvent(
            DispatchEventKind.START_REJECTED,
            member.taskRun().toString(),
            "outcome",
            outcome,
            "minion",
            member.minion().id());
        handleRejection(member, outcome, nowMillis);
      }
    }
  }

  private void handleRejection(Member member, OrderOutcome outcome, long nowMillis) {
    if (outcome == OrderOutcome.UNHEALTHY) {
      member.minion().health().recordRejection(nowMillis);
    }
    member.run().requestStop();
    if (!member.isConfirmed() && !member.start().mayStillTakeEffect()) {
      endRecorder.recordLoss(member, "its start was rejected");
    }
  }

  void handleStopOutcome(Member member, OrderOutcome outcome, long nowMillis) {
    if (outcome == OrderOutcome.DONE) {
      member.stop().markDone(nowMillis);
    } else if (outcome == OrderOutcome.OTHER_MINION) {
      endRecorder.recordLoss(member, "another minion responds at its address");
    } else if (outcome != OrderOutcome.UNKNOWN) {
      member.stop().markAnswered();
    }
  }
}
