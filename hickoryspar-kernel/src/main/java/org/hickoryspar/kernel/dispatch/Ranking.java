package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The order in which waiting steps are given room. */
final class Ranking {

  private static final Comparator<RankedStep> FIRST_IN_RANK =
      Comparator.comparingInt((RankedStep step) -> step.urgency().priority())
          .thenComparing(step -> step.urgency().prospect())
          .thenComparingLong(step -> step.urgency().latestStartMillis())
          .thenComparing(step -> step.waiting().workflow().id());

  private final UrgencyCalculator urgencies;

  Ranking(UrgencyCalculator urgencies) {
    this.urgencies = urgencies;
  }

  List<RankedStep> rank(List<WaitingStep> waiting, long wallMillis) {
    List<RankedStep> ranked = new ArrayList<>(waiting.size());
    for (WaitingStep step : waiting) {
      ranked.add(new RankedStep(step, urgencies.of(step, wallMillis)));
    }
    ranked.sort(FIRST_IN_RANK);
    return ranked;
  }
}
