package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Orders waiting steps by priority, target status and latest start; the steps of a service whose
 * backlog does not fit are ordered as {@link Backlogs} says.
 */
final class Ranking {

  private static final Comparator<RankedStep> BY_URGENCY =
      Comparator.comparingInt((RankedStep step) -> step.urgency().priority())
          .thenComparing(step -> step.urgency().targetStatus())
          .thenComparingLong(step -> step.urgency().latestStartMillis())
          .thenComparing(step -> step.waitingStep().workflow().id());

  private final UrgencyCalculator urgencyCalculator;
  private final Backlogs backlogs;

  Ranking(UrgencyCalculator urgencyCalculator, Backlogs backlogs) {
    this.urgencyCalculator = urgencyCalculator;
    this.backlogs = backlogs;
  }

  List<RankedStep> rank(List<WaitingStep> waitingSteps, long nowMillis, long wallMillis) {
    List<RankedStep> ranked = new ArrayList<>(waitingSteps.size());
    for (WaitingStep step : waitingSteps) {
      ranked.add(new RankedStep(step, urgencyCalculator.calculate(step, wallMillis)));
    }
    ranked.sort(BY_URGENCY);
    return backlogs.arrange(ranked, nowMillis, wallMillis);
  }
}
