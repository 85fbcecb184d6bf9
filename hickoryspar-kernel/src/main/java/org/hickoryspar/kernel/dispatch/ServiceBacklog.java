package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickoryspar.kernel.ranking.AgingOrder;
import org.hickoryspar.kernel.ranking.BacklogItem;
import org.hickoryspar.kernel.ranking.FairShareOrder;
import org.hickoryspar.kernel.ranking.Overload;
import org.hickoryspar.kernel.ranking.TeamShares;

/** The state of the backlog of one service, and the order of its steps while it is overloaded. */
final class ServiceBacklog {

  /** Time after which a step of an overloaded service may go ahead of its turn. */
  private static final long MAX_WAIT_MILLIS = 60_000;

  private final String service;
  private final DispatchListener listener;
  private final Overload overload = new Overload();
  private final AgingOrder<Waiting> agingOrder;

  ServiceBacklog(String service, RunTable runs, DispatchListener listener) {
    this.service = service;
    this.listener = listener;
    this.agingOrder =
        new AgingOrder<>(
            MAX_WAIT_MILLIS,
            Waiting::item,
            waiting -> waiting.step.waitingStep().groups().stream().anyMatch(runs::hasRun),
            this::reportAheadOfTurn);
  }

  Overload overload() {
    return overload;
  }

  /** Returns whether nothing waits and no overload has to end. */
  boolean isEmpty() {
    return !overload.isActive() && overload.pressurePercent() == 0;
  }

  /** Records the pressure and reports an overload that begins or ends. */
  void update(int pressurePercent, int waitingSteps, long nowMillis) {
    Optional<Overload.Change> change = overload.update(pressurePercent, nowMillis);
    change.ifPresent(c -> reportChange(c, waitingSteps));
  }

  private void reportChange(Overload.Change change, int waitingSteps) {
    if (!change.isBeginning()) {
      agingOrder.clear();
    }
    listener.onEvent(
        change.isBeginning() ? DispatchEventKind.OVERLOAD_ENTERED : DispatchEventKind.OVERLOAD_LEFT,
        service,
        "pressurePercent",
        change.pressurePercent(),
        "highestPercent",
        change.highestPercent(),
        "lastedMillis",
        change.lastedMillis(),
        "waitingSteps",
        waitingSteps);
  }

  /**
   * Returns the steps of the service in the order in which they are served during an overload.
   *
   * @param steps the steps in the order of their urgency
   * @param shares what the teams use of the service
   */
  List<RankedStep> order(List<RankedStep> steps, TeamShares shares, long wallMillis) {
    List<Waiting> waiting = new ArrayList<>(steps.size());
    steps.forEach(step -> waiting.add(new Waiting(step, step.toBacklogItem())));
    List<Waiting> fair = FairShareOrder.sort(waiting, Waiting::item, shares);
    return agingOrder.apply(fair, wallMillis).stream().map(Waiting::step).toList();
  }

  private void reportAheadOfTurn(Waiting waiting) {
    listener.onEvent(
        DispatchEventKind.AHEAD_OF_TURN,
        waiting.item.id(),
        "team",
        waiting.item.team(),
        "service",
        service,
        "maxWaitMillis",
        MAX_WAIT_MILLIS);
  }

  private record Waiting(RankedStep step, BacklogItem item) {}
}
