package org.hickoryspar.kernel.dispatch;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickoryspar.kernel.minion.MinionSpeed;
import org.hickoryspar.kernel.minion.RunTimeRatio;
import org.hickoryspar.kernel.minion.SpeedBaseline;

/** Compares the run times on minions with their expectations, and judges which minions are slow. */
final class MinionSpeedTracker {

  private static final double PERCENT = 100;

  private final RunTimeEstimates runTimeEstimates;
  private final DispatchListener listener;
  private final Map<String, SpeedBaseline> baselineByService = new HashMap<>();

  MinionSpeedTracker(RunTimeEstimates runTimeEstimates, DispatchListener listener) {
    this.runTimeEstimates = runTimeEstimates;
    this.listener = listener;
  }

  /** Records a completed task; must be called before the estimates learn of it. */
  void recordCompletion(Member member, long nowMillis) {
    ActiveRun run = member.run();
    long runMillis = run.runningMillis(nowMillis);
    if (isEvidence(member) && runMillis > 0) {
      double logRatio =
          RunTimeRatio.logOf(runMillis, runTimeEstimates.initialExpectation(run).medianMillis());
      baselineOf(member.minion().service()).add(logRatio);
      member.minion().speed().recordRun(logRatio, nowMillis);
    }
  }

  // A gang goes at the pace of its slowest member, so that a slow minion would be put down to the
  // others as well; and its members on one minion are one piece of evidence. Of a run that an
  // earlier leader started or that has resumed, the time is not known. What fills depends on what
  // runs beside it, and a task away from its data on the way to it.
  private static boolean isEvidence(Member member) {
    ActiveRun run = member.run();
    String dataRack = run.step().getDataRack();
    return member.index() == 0
        && (dataRack.isEmpty() || dataRack.equals(member.minion().rack()))
        && member.start().wasSent()
        && run.checkpoint().isEmpty()
        && !run.step().getLongRunning()
        && !run.step().getFills()
        && run.members().stream().allMatch(other -> other.minion() == member.minion());
  }

  SpeedBaseline baselineOf(String service) {
    return baselineByService.computeIfAbsent(service, s -> new SpeedBaseline());
  }

  /** Judges all minions anew and reports those whose verdict changes. */
  void assess(Collection<Minion> minions, long nowMillis) {
    for (Minion minion : minions) {
      MinionSpeed speed = minion.speed();
      SpeedBaseline baseline = baselineOf(minion.service());
      if (speed.assess(baseline, runningLogRatios(minion), nowMillis)) {
        listener.onEvent(
            DispatchEventKind.MINION_PACE_CHANGED,
            minion.id(),
            "pace",
            speed.pace(),
            "slowdownPercent",
            Math.round(speed.slowdown() * PERCENT),
            "usualPercent",
            Math.round(Math.exp(baseline.median()) * PERCENT),
            "members",
            minion.members().size());
      }
    }
  }

  private List<Double> runningLogRatios(Minion minion) {
    return minion.members().stream()
        .filter(member -> member.progress().totalMillis() > 0 && isEvidence(member))
        .map(
            member ->
                RunTimeRatio.logOf(
                    member.progress().totalMillis(),
                    runTimeEstimates.initialExpectation(member.run()).medianMillis()))
        .toList();
  }
}
