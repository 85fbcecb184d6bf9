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
  private static final long LEAVING_OVER_MILLIS = 500;

  private final DispatchSettings settings;
  private final MinionTable minions;
  private final RunTable runs;
  private final Outbox outbox;
  private final RunEndRecorder ends;
  private final StopRetransmitter guards;
  private final DispatchListener listener;
  private final Map<TaskRun, Long> strayStops = new HashMap<>();
  private final Map<Minion, Long> awaitedBatches = new HashMap<>();

  LeaseManager(
      DispatchSettings settings,
      MinionTable minions,
      RunTable runs,
      Outbox outbox,
      RunEndRecorder ends,
      StopRetransmitter guards,
      DispatchListener listener) {
    this.settings = settings;
    this.minions = minions;
    this.runs = runs;
    this.outbox = outbox;
    this.ends = ends;
    this.guards = guards;
    this.listener = listener;
  }

  /** Sends the renewals that are due and gives up on members whose lease has surely ended. */
  void advance(long nowMillis) {
    for (Minion minion : new ArrayList<>(minions.all())) {
      if (minion.lease().isDue(nowMillis) && minion.isAddressKnown()) {
        renew(minion, nowMillis);
      }
      if (!minion.isIdle() && isOver(minion, nowMillis)) {
        minion.members().forEach(member -> loseIfOver(member, nowMillis));
      }
    }
  }

  private void renew(Minion minion, long nowMillis) {
    LeaseState lease = minion.lease();
    // The clock is known from the first answer on; until then nothing is granted. Nor is anything
    // granted to a minion that does not answer: each question might reach it, and its lease would
    // never be known to be over.
    boolean answers = lease.isContacted() && !lease.isSuspect();
    long deadline =
        minion.clock().isKnown() && answers
            ? minion.clock().estimate(nowMillis) + settings.leaseMillis()
            : 0;
    long wait = answers ? settings.renewWaitMillis() : 0;
    lease.sent(nowMillis, deadline);
    outbox.order(new Order.Renew(minion.target(), deadline, lease.seenEnd(), wait));
  }

  private boolean isOver(Minion minion, long nowMillis) {
    if (minion.isLeaving() && nowMillis - minion.leavingSinceMillis() > LEAVING_OVER_MILLIS) {
      return true;
    }
    LeaseState lease = minion.lease();
    if (!lease.isSuspect() && lease.isContacted()) {
      return false;
    }
    if (!lease.isContacted()) {
      return nowMillis - lease.sinceMillis() > settings.leaseOverMillis();
    }
    return minion.clock().earliest(nowMillis) > lease.grantedUntilMillis();
  }

  private void loseIfOver(Member member, long nowMillis) {
    boolean mayStillStart =
        member.minion().clock().earliest(nowMillis) <= member.startDeadlineMillis()
            && !member.minion().isLeaving();
    if (member.isRecorded() && !mayStillStart) {
      ends.lost(member, "lease over");
    }
  }

  void answered(Minion minion, RenewalResponse answer, long nowMillis) {
    LeaseState lease = minion.lease();
    long sentMillis = lease.sentMillis();
    if (lease.isSuspect()) {
      listener.happened(
          DispatchEventKind.MINION_RETURNED,
          minion.id(),
          "silentMillis",
          nowMillis - lease.answeredMillis());
    }
    lease.answered(nowMillis);
    if (answer.bornMillis() != 0 && answer.bornMillis() != minion.life().getBornMillis()) {
      minions.answeredByLife(minion, answer.bornMillis(), nowMillis);
      return;
    }
    minion.clock().read(answer.clockMillis(), nowMillis);
    Map<TaskRun, Boolean> listed = new HashMap<>();
    answer.running().forEach(row -> listed.put(row.taskRun(), true));
    answer.ended().forEach(row -> listed.put(row.taskRun(), false));
    noteEnds(minion, answer, nowMillis);
    noteRunning(minion, answer, nowMillis);
    if (answer.ended().size() < MAX_LISTED_ENDS) {
      for (Member member : minion.members()) {
        if (!listed.containsKey(member.taskRun()) && isMissing(member, sentMillis)) {
          ends.lost(member, "not listed by its minion");
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

  private void noteEnds(Minion minion, RenewalResponse answer, long nowMillis) {
    if (answer.ended().isEmpty()) {
      return;
    }
    boolean proposed = false;
    for (RenewalResponse.EndedTask row : answer.ended()) {
      Member member = runs.find(row.taskRun());
      if (member != null && member.minion() == minion && !member.isEnded()) {
        ends.listed(member, row.cause(), row.checkpoint(), nowMillis);
        proposed = true;
      }
    }
    minion.lease().endsProposed(answer.ended().get(answer.ended().size() - 1).number());
    if (proposed) {
      awaitedBatches.put(minion, outbox.batchNumber());
    } else if (!awaitedBatches.containsKey(minion)) {
      minion.lease().endsRecorded();
    }
  }

  private void noteRunning(Minion minion, RenewalResponse answer, long nowMillis) {
    boolean strays = false;
    for (RenewalResponse.RunningTask row : answer.running()) {
      Member member = runs.find(row.taskRun());
      if (member != null && member.minion() == minion) {
        member.confirm(nowMillis);
        member.seen(row.percent(), row.checkpoint(), nowMillis);
      } else {
        strays = true;
        stopStray(minion, row.taskRun(), nowMillis);
      }
    }
    minion.setRunsStrays(strays);
  }

  private void stopStray(Minion minion, TaskRun taskRun, long nowMillis) {
    Long sentMillis = strayStops.get(taskRun);
    if (sentMillis == null || nowMillis - sentMillis > settings.answerTimeoutMillis()) {
      strayStops.put(taskRun, nowMillis);
      listener.happened(DispatchEventKind.STRAY_TASK, taskRun.toString(), "minion", minion.id());
      outbox.order(new Order.Stop(minion.target(), taskRun));
    }
  }

  void failed(Minion minion, OrderOutcome outcome, long nowMillis) {
    LeaseState lease = minion.lease();
    boolean first = !lease.isSuspect();
    lease.failed(nowMillis);
    if (first) {
      listener.happened(
          DispatchEventKind.MINION_SUSPECTED,
          minion.id(),
          "outcome",
          outcome,
          "silentMillis",
          nowMillis - lease.answeredMillis(),
          "members",
          minion.members().size());
      stopIncompleteGangs(minion);
    }
  }

  // A gang whose member may not have started there would hold the room of the others in vain.
  private void stopIncompleteGangs(Minion minion) {
    for (Member member : minion.members()) {
      ActiveRun run = member.run();
      if (run.members().size() > 1 && !member.isConfirmed() && !run.isStopWanted()) {
        run.wantStop();
        listener.happened(
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
  void recorded(long batchNumber) {
    awaitedBatches
        .entrySet()
        .removeIf(
            entry -> {
              boolean recorded = entry.getValue() <= batchNumber;
              if (recorded) {
                entry.getKey().lease().endsRecorded();
              }
              return recorded;
            });
  }

  /** Forgets what concerns stray tasks that were stopped long ago. */
  void sweep(long nowMillis) {
    strayStops.values().removeIf(sentMillis -> nowMillis - sentMillis > settings.leaseOverMillis());
  }

  /**
   * Takes over what the earlier life of a minion ran. A start that was sent to the earlier life may
   * have reached the new one, or may still reach it.
   */
  void newLife(Minion earlier, Minion newLife, long nowMillis) {
    guards.drop(earlier);
    if (earlier.id().equals(newLife.id())) {
      for (TaskRun taskRun : earlier.lateStarts().mayArrive(nowMillis)) {
        guards.add(newLife, taskRun);
      }
    }
    for (Member member : earlier.members()) {
      if (!earlier.id().equals(newLife.id())) {
        ends.lost(member, "another minion is at its address");
      } else if (member.isRecorded() && !member.isInherited() && !member.start().wasSent()) {
        ends.lost(member, "its minion has started again");
      } else {
        member.moveTo(newLife);
        if (member.start().mayArrive()) {
          member.wantStop();
        } else if (member.isRecorded()) {
          member.inherit();
        }
      }
    }
  }
}
