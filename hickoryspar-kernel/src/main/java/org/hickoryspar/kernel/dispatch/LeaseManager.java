package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;

/**
 * Renews the leases of minions and takes in what they answer: what runs, what has ended and what is
 * gone. An end is acknowledged only after it is recorded durably.
 */
final class LeaseManager {

  /** A minion lists at most this many ends at a time. */
  private static final int MAX_LISTED_ENDS = 500;

  /** A minion that said it ends now has ended after this time. */
  private static final long LEAVE_TIMEOUT_MILLIS = 500;

  private final DispatchSettings settings;
  private final MinionTable minions;
  private final RunTable runs;
  private final Outbox outbox;
  private final RunEndRecorder endRecorder;
  private final StopRetransmitter stopRetransmitter;
  private final DispatchListener listener;
  private final Map<TaskRun, Long> strayStopSentMillis = new HashMap<>();
  private final Map<Minion, Long> awaitedBatchByMinion = new HashMap<>();

  LeaseManager(
      DispatchSettings settings,
      MinionTable minions,
      RunTable runs,
      Outbox outbox,
      RunEndRecorder endRecorder,
      StopRetransmitter stopRetransmitter,
      DispatchListener listener) {
    this.settings = settings;
    this.minions = minions;
    this.runs = runs;
    this.outbox = outbox;
    this.endRecorder = endRecorder;
    this.stopRetransmitter = stopRetransmitter;
    this.listener = listener;
  }

  /** Sends the renewals that are due and gives up on members whose lease has surely ended. */
  void advance(long nowMillis) {
    for (Minion minion : new ArrayList<>(minions.all())) {
      if (minion.lease().isDue(nowMillis) && minion.isAddressKnown()) {
        renew(minion, nowMillis);
      }
      if (!minion.isIdle() && isExpired(minion, nowMillis)) {
        minion.members().forEach(member -> recordLossIfExpired(member, nowMillis));
      }
    }
  }

  private void renew(Minion minion, long nowMillis) {
    LeaseState lease = minion.lease();
    // The clock is known from the first answer on; until then nothing is granted. Nor is anything
    // granted to a minion that does not answer: each question might reach it, and its lease would
    // never be known to be over.
    boolean responsive = lease.hasResponded() && !lease.isSuspect();
    long deadlineMillis =
        minion.clock().isKnown() && responsive
            ? minion.clock().estimateMillis(nowMillis) + settings.leaseMillis()
            : 0;
    long waitMillis = responsive ? settings.renewalWaitMillis() : 0;
    lease.recordSent(nowMillis, deadlineMillis);
    outbox.send(
        new Order.Renew(minion.target(), deadlineMillis, lease.recordedEndNumber(), waitMillis));
  }

  private boolean isExpired(Minion minion, long nowMillis) {
    if (minion.isLeaving() && nowMillis - minion.leavingSinceMillis() > LEAVE_TIMEOUT_MILLIS) {
      return true;
    }
    LeaseState lease = minion.lease();
    if (!lease.isSuspect() && lease.hasResponded()) {
      return false;
    }
    if (!lease.hasResponded()) {
      return nowMillis - lease.createdMillis() > settings.leaseExpiryMillis();
    }
    return minion.clock().lowerBoundMillis(nowMillis) > lease.grantedUntilMillis();
  }

  private void recordLossIfExpired(Member member, long nowMillis) {
    boolean mayStillStart =
        member.minion().clock().lowerBoundMillis(nowMillis) <= member.startDeadlineMillis()
            && !member.minion().isLeaving();
    if (member.isStartRecorded() && !mayStillStart) {
      endRecorder.recordLoss(member, "lease over");
    }
  }

  void handleResponse(Minion minion, RenewalResponse response, long nowMillis) {
    LeaseState lease = minion.lease();
    long sentMillis = lease.lastSentMillis();
    if (lease.isSuspect()) {
      listener.onEvent(
          DispatchEventKind.MINION_RETURNED,
          minion.id(),
          "silentMillis",
          nowMillis - lease.lastResponseMillis());
    }
    lease.recordResponse(nowMillis);
    if (response.bornMillis() != 0 && response.bornMillis() != minion.life().getBornMillis()) {
      minions.handleNewLife(minion, response.bornMillis(), nowMillis);
      return;
    }
    minion.clock().update(response.clockMillis(), nowMillis);
    Map<TaskRun, Boolean> listedRuns = new HashMap<>();
    response.running().forEach(task -> listedRuns.put(task.taskRun(), true));
    response.ended().forEach(task -> listedRuns.put(task.taskRun(), false));
    processEnds(minion, response, nowMillis);
    processRunning(minion, response, nowMillis);
    if (response.ended().size() < MAX_LISTED_ENDS) {
      for (Member member : minion.members()) {
        if (!listedRuns.containsKey(member.taskRun()) && isMissing(member, sentMillis)) {
          endRecorder.recordLoss(member, "not listed by its minion");
        }
      }
    }
  }

  // What is not listed although its start was confirmed, or its stop, before the question was sent
  // does not run and will not. The same holds for starts of earlier leaders and sessions: the
  // question carried the higher fencing token of this one.
  private static boolean isMissing(Member member, long sentMillis) {
    return member.isInherited()
        || (member.isConfirmed() && member.confirmedMillis() < sentMillis)
        || (member.stop().isDone() && member.stop().doneMillis() < sentMillis);
  }

  private void processEnds(Minion minion, RenewalResponse response, long nowMillis) {
    if (response.ended().isEmpty()) {
      return;
    }
    boolean proposed = false;
    for (RenewalResponse.EndedTask endedTask : response.ended()) {
      Member member = runs.find(endedTask.taskRun());
      if (member != null && member.minion() == minion && !member.isEnded()) {
        endRecorder.recordReportedEnd(member, endedTask.cause(), endedTask.checkpoint(), nowMillis);
        proposed = true;
      }
    }
    minion.lease().markEndsProposed(response.ended().get(response.ended().size() - 1).number());
    if (proposed) {
      awaitedBatchByMinion.put(minion, outbox.batchNumber());
    } else if (!awaitedBatchByMinion.containsKey(minion)) {
      minion.lease().markEndsRecorded();
    }
  }

  private void processRunning(Minion minion, RenewalResponse response, long nowMillis) {
    boolean hasStrayTasks = false;
    for (RenewalResponse.RunningTask runningTask : response.running()) {
      Member member = runs.find(runningTask.taskRun());
      if (member != null && member.minion() == minion) {
        member.confirmRunning(nowMillis);
        member.update(runningTask.percent(), runningTask.checkpoint(), nowMillis);
      } else {
        hasStrayTasks = true;
        stopStray(minion, runningTask.taskRun(), nowMillis);
      }
    }
    minion.setHasStrayTasks(hasStrayTasks);
  }

  private void stopStray(Minion minion, TaskRun taskRun, long nowMillis) {
    Long sentMillis = strayStopSentMillis.get(taskRun);
    if (sentMillis == null || nowMillis - sentMillis > settings.responseTimeoutMillis()) {
      strayStopSentMillis.put(taskRun, nowMillis);
      listener.onEvent(DispatchEventKind.STRAY_TASK, taskRun.toString(), "minion", minion.id());
      outbox.send(new Order.Stop(minion.target(), taskRun));
    }
  }

  void handleFailure(Minion minion, OrderOutcome outcome, long nowMillis) {
    LeaseState lease = minion.lease();
    boolean first = !lease.isSuspect();
    lease.recordFailure(nowMillis);
    if (first) {
      listener.onEvent(
          DispatchEventKind.MINION_SUSPECTED,
          minion.id(),
          "outcome",
          outcome,
          "silentMillis",
          nowMillis - lease.lastResponseMillis(),
          "members",
          minion.members().size());
      stopIncompleteGangs(minion);
    }
  }

  // A gang whose member may not have started there would hold the room of the others in vain.
  private void stopIncompleteGangs(Minion minion) {
    for (Member member : minion.members()) {
      ActiveRun run = member.run();
      if (run.members().size() > 1 && !member.isConfirmed() && !run.isStopRequested()) {
        run.requestStop();
        listener.onEvent(
            DispatchEventKind.RUN_STOPPING,
            run.taskRun(0).toString(),
            "because",
            "the minion of a member does not answer",
            "minion",
            minion.id());
      }
    }
  }

  /** Lets the renewals go on that waited for a batch of ends to be recorded. */
  void handleRecorded(long batchNumber) {
    awaitedBatchByMinion
        .entrySet()
        .removeIf(
            entry -> {
              boolean recorded = entry.getValue() <= batchNumber;
              if (recorded) {
                entry.getKey().lease().markEndsRecorded();
              }
              return recorded;
            });
  }

  /** Forgets what concerns stray tasks that were stopped long ago. */
  void sweep(long nowMillis) {
    strayStopSentMillis
        .values()
        .removeIf(sentMillis -> nowMillis - sentMillis > settings.leaseExpiryMillis());
  }

  /**
   * Takes over what the earlier life of a minion ran. A start that was sent to the earlier life may
   * have reached the new one, or may still reach it.
   */
  void handleNewLife(Minion previous, Minion newLife, long nowMillis) {
    stopRetransmitter.removeAll(previous);
    if (previous.id().equals(newLife.id())) {
      for (TaskRun taskRun : previous.unansweredStarts().pendingRuns(nowMillis)) {
        stopRetransmitter.add(newLife, taskRun);
      }
    }
    for (Member member : previous.members()) {
      if (!previous.id().equals(newLife.id())) {
        endRecorder.recordLoss(member, "another minion is at its address");
      } else if (member.isStartRecorded() && !member.isInherited() && !member.start().wasSent()) {
        endRecorder.recordLoss(member, "its minion has started again");
      } else {
        member.moveTo(newLife);
        if (member.start().mayStillTakeEffect()) {
          member.requestStop();
        } else if (member.isStartRecorded()) {
          member.markInherited();
        }
      }
    }
  }
}
