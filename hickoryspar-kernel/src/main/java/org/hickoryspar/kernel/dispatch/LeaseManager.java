package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickoryspar.kernel.dispatch.order.Order;
import org.hickoryspar.kernel.dispatch.order.OrderOutcome;
import org.hickoryspar.kernel.dispatch.order.RenewalResponse;
import org.hickoryspar.kernel.dispatch.order.TaskRun;
import org.hickoryspar.kernel.minion.LeaseState;

/**
 * Renews the leases of minions and reconciles the runs with the responses, which list the running
 * and the ended tasks. An end is acknowledged only after the replicated log has recorded it.
 */
final class LeaseManager {

  /** Maximum number of ends in a response; a response with fewer ends is complete. */
  private static final int MAX_LISTED_ENDS = 500;

  /** A minion that announced its end and does not respond has ended after this time. */
  private static final long LEAVE_TIMEOUT_MILLIS = 500;

  private final DispatchSettings settings;
  private final MinionTable minions;
  private final RunTable runs;
  private final Outbox outbox;
  private final RunEndRecorder endRecorder;
  private final StopRetransmitter stopRetransmitter;
  private final UnrecordedTasks unrecordedTasks;
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
      UnrecordedTasks unrecordedTasks,
      DispatchListener listener) {
    this.settings = settings;
    this.minions = minions;
    this.runs = runs;
    this.outbox = outbox;
    this.endRecorder = endRecorder;
    this.stopRetransmitter = stopRetransmitter;
    this.unrecordedTasks = unrecordedTasks;
    this.listener = listener;
  }

  /** Sends due renewals and records the loss of members whose lease has certainly expired. */
  void advance(long nowMillis) {
    for (Minion minion : minions.allToRenew()) {
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
    // No lease is granted before the first response: the clock of the minion is unknown until then.
    // No lease is granted to an unresponsive minion either: each renewal might reach it and extend
    // its lease, so the lease would never be known to have expired.
    boolean responsive = lease.hasResponded() && !lease.isSuspect();
    long deadlineMillis =
        minion.clock().isKnown() && responsive
            ? minion.clock().estimateMillis(nowMillis) + settings.leaseMillis()
            : 0;
    // A minion that has announced its end is asked at once whether it is still there, and one that
    // may hold a task in vain whether it does.
    boolean awaited = minion.isLeaving() || holdsTaskInVain(minion, nowMillis);
    long waitMillis = responsive && !awaited ? settings.renewalWaitMillis() : 0;
    lease.recordSent(nowMillis, deadlineMillis);
    outbox.send(
        new Order.Renew(minion.target(), deadlineMillis, lease.recordedEndNumber(), waitMillis));
  }

  private static boolean holdsTaskInVain(Minion minion, long nowMillis) {
    return minion.members().stream()
        .anyMatch(
            member ->
                member.isStopRequested() && !member.isConfirmed() && member.isSettledBy(nowMillis));
  }

  private boolean isExpired(Minion minion, long nowMillis) {
    LeaseState lease = minion.lease();
    if (!lease.isSuspect() && lease.hasResponded()) {
      return false;
    }
    if (lease.isSuspect()
        && minion.hasAnnouncedEnd()
        && nowMillis - minion.leavingSinceMillis() > LEAVE_TIMEOUT_MILLIS) {
      return true;
    }
    if (!lease.hasResponded()) {
      return nowMillis - lease.createdMillis() > settings.leaseExpiryMillis();
    }
    return minion.clock().lowerBoundMillis(nowMillis) > lease.grantedUntilMillis();
  }

  private void recordLossIfExpired(Member member, long nowMillis) {
    if (member.isStartRecorded() && !mayStillStart(member, nowMillis)) {
      endRecorder.recordLoss(member, "lease expired");
    }
  }

  // The deadline of a start is on the clock of the life that it was sent to. The clock of a later
  // life may reach it much later, so only a start that may still be on its way counts.
  private static boolean mayStillStart(Member member, long nowMillis) {
    OrderState start = member.start();
    boolean onItsWay =
        start.mayStillTakeEffect()
            && nowMillis - start.lastSentMillis() <= UnansweredStarts.MAX_DELIVERY_DELAY_MILLIS;
    return onItsWay
        && member.minion().clock().lowerBoundMillis(nowMillis) <= member.startDeadlineMillis()
        && !member.minion().hasAnnouncedEnd();
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
    if (!minions.handleResponder(minion, response.bornMillis(), nowMillis)) {
      return;
    }
    minion.clock().update(response.clockMillis(), nowMillis);
    if (minion.isLeaving() && sentMillis > minion.leavingSinceMillis()) {
      minion.clearLeaving();
      listener.onEvent(DispatchEventKind.MINION_STAYED, minion.id());
    }
    Map<TaskRun, Boolean> listedRuns = new HashMap<>();
    response.running().forEach(task -> listedRuns.put(task.taskRun(), true));
    response.ended().forEach(task -> listedRuns.put(task.taskRun(), false));
    processEnds(minion, response, nowMillis);
    processRunning(minion, response, nowMillis);
    if (response.ended().size() < MAX_LISTED_ENDS) {
      for (Member member : minion.members()) {
        if (!listedRuns.containsKey(member.taskRun()) && member.isSettledBy(sentMillis)) {
          endRecorder.recordLoss(member, "not reported by its minion");
        }
      }
    }
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
    List<TaskRun> strayTasks = new ArrayList<>();
    for (RenewalResponse.RunningTask runningTask : response.running()) {
      Member member = runs.find(runningTask.taskRun());
      if (member != null && member.minion() == minion) {
        member.confirmRunning(nowMillis);
        member.update(runningTask.percent(), runningTask.checkpoint(), nowMillis);
      } else {
        strayTasks.add(runningTask.taskRun());
        stopStray(minion, runningTask.taskRun(), nowMillis);
      }
    }
    minion.setHasStrayTasks(!strayTasks.isEmpty());
    unrecordedTasks.updateStrays(minion, strayTasks, nowMillis);
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
    if (outcome == OrderOutcome.OTHER_MINION && minions.handleOtherResponder(minion)) {
      return;
    }
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

  // If a member of a gang may not have started, the gang would occupy the resources of its other
  // members in vain.
  private void stopIncompleteGangs(Minion minion) {
    for (Member member : minion.members()) {
      ActiveRun run = member.run();
      if (run.members().size() > 1 && !member.isConfirmed() && !run.isStopRequested()) {
        run.requestStop();
        listener.onEvent(
            DispatchEventKind.RUN_STOPPING,
            run.taskRun(0).toString(),
            "because",
            "the minion of a member does not respond",
            "minion",
            minion.id());
      }
    }
  }

  /** Resumes the renewals that waited for a batch of ends to be recorded. */
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

  /** Removes stray tasks whose stop was sent so long ago that any lease has expired since. */
  void sweep(long nowMillis) {
    strayStopSentMillis
        .values()
        .removeIf(sentMillis -> nowMillis - sentMillis > settings.leaseExpiryMillis());
    unrecordedTasks.sweep(nowMillis);
  }

  /**
   * Moves the members of the previous life of a minion to its new life, or records their loss. A
   * start that was sent to the previous life may have reached the new one, or may still reach it.
   */
  void handleNewLife(Minion previous, Minion newLife, long nowMillis) {
    stopRetransmitter.removeAll(previous);
    unrecordedTasks.removeAll(previous);
    if (previous.id().equals(newLife.id())) {
      newLife.unansweredStarts().inherit(previous.unansweredStarts(), nowMillis);
      for (TaskRun taskRun : previous.unansweredStarts().pendingRuns(nowMillis)) {
        stopRetransmitter.add(newLife, taskRun);
        if (runs.find(taskRun) == null) {
          unrecordedTasks.addDelayedStart(
              newLife, taskRun, nowMillis + UnansweredStarts.MAX_DELIVERY_DELAY_MILLIS);
        }
      }
    }
    for (Member member : previous.members()) {
      if (!previous.id().equals(newLife.id())) {
        endRecorder.recordLoss(member, "another minion uses its address");
      } else if (member.isStartRecorded() && !member.isInherited() && !member.start().wasSent()) {
        endRecorder.recordLoss(member, "its minion has restarted");
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
