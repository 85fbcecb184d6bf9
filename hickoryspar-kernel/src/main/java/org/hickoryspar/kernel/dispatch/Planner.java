package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hickoryspar.kernel.catalog.CatalogState;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.jspecify.annotations.Nullable;

/** Decides which waiting groups start where, most urgent first, and what is stopped for them. */
final class Planner {

  /** Room is kept this long beyond the time in which a task stops. */
  private static final long RESERVATION_MARGIN_MILLIS = 1_500;

  private static final Comparator<WaitingStep> MOST_URGENT_FIRST =
      Comparator.comparingInt((WaitingStep step) -> step.queue().getPriority())
          .thenComparingLong(WaitingStep::sinceMillis)
          .thenComparing(step -> step.workflow().id());

  private final DispatchSettings settings;
  private final CatalogState catalog;
  private final MinionTable minions;
  private final RunTable runs;
  private final FaultLedger faults;
  private final Reclaim reclaim;
  private final Effects effects;
  private final Map<TaskGroup, Reservation> reservations = new LinkedHashMap<>();

  /** Takes the decisions, each at once, so that the next one sees its room as taken. */
  interface Effects {

    void start(Placement placement);

    void preempt(ActiveRun victim, Placement beneficiary);
  }

  Planner(
      DispatchSettings settings,
      CatalogState catalog,
      MinionTable minions,
      RunTable runs,
      FaultLedger faults,
      Effects effects) {
    this.settings = settings;
    this.catalog = catalog;
    this.minions = minions;
    this.runs = runs;
    this.faults = faults;
    this.reclaim = new Reclaim(new VictimCost.LostWork());
    this.effects = effects;
  }

  /** Places the groups of steps that wait. */
  void plan(List<WaitingStep> waiting, long nowMillis) {
    List<WaitingStep> ordered = new ArrayList<>(waiting);
    ordered.sort(MOST_URGENT_FIRST);
    List<Minion> usable =
        minions.all().stream()
            .filter(Minion::acceptsWork)
            .filter(minion -> !catalog.dataCentresOut().contains(minion.dataCentre()))
            .filter(minion -> !minion.health().isIsolated(nowMillis))
            .toList();
    startReserved(usable, nowMillis);
    for (WaitingStep step : ordered) {
      place(step, usable, nowMillis);
    }
  }

  // A reservation ends when its group starts or ends, when a minion of it becomes unusable, or when
  // its time is up.
  private void startReserved(List<Minion> usable, long nowMillis) {
    for (Reservation reservation : List.copyOf(reservations.values())) {
      Placement placement = reservation.placement();
      TaskGroup group = placement.group();
      boolean needless =
          placement.waiting().workflow().isEnded() || group.isDone() || runs.holds(group);
      boolean unusable = !usable.containsAll(placement.minions());
      reservation.release();
      if (needless || unusable || nowMillis >= reservation.untilMillis()) {
        reservations.remove(group);
      } else if (reservation.isRoomFree()) {
        reservations.remove(group);
        effects.start(placement);
      } else {
        reservation.take();
      }
    }
  }

  private void place(WaitingStep waiting, List<Minion> usable, long nowMillis) {
    List<Minion> suitable =
        usable.stream()
            .filter(minion -> minion.service().equals(waiting.queue().getService()))
            .filter(minion -> minion.hasLabel(waiting.step().getRequiredLabel()))
            .toList();
    StepLoad load = new StepLoad(waiting, runs);
    for (TaskGroup group : waiting.groups()) {
      if (reservations.containsKey(group) || runs.holds(group)) {
        continue;
      }
      List<Minion> chosen = choose(waiting, group, suitable, load, nowMillis);
      if (chosen != null) {
        chosen.forEach(load::add);
        effects.start(new Placement(waiting, group, chosen));
      } else if (!Reclaim.mayPreempt(waiting)
          || !preemptFor(waiting, group, trusted(group, suitable, nowMillis), load, nowMillis)) {
        return;
      }
    }
  }

  private @Nullable List<Minion> choose(
      WaitingStep waiting, TaskGroup group, List<Minion> suitable, StepLoad load, long nowMillis) {
    List<Minion> chosen = onTrial(waiting, group, suitable, load, nowMillis);
    if (chosen == null) {
      chosen = find(waiting, group, trusted(group, suitable, nowMillis), load);
    }
    if (chosen == null) {
      List<Minion> others =
          suitable.stream()
              .filter(minion -> !minion.health().isOnTrial(nowMillis))
              .filter(minion -> !faults.hasFailedOn(group, minion))
              .toList();
      chosen = find(waiting, group, others, load);
    }
    return chosen;
  }

  private List<Minion> trusted(TaskGroup group, List<Minion> suitable, long nowMillis) {
    return suitable.stream()
        .filter(minion -> !minion.health().isDoubted(nowMillis))
        .filter(minion -> !faults.hasFailedOn(group, minion))
        .toList();
  }

  // A single task that may fail once more shows whether a minion has recovered.
  private static @Nullable List<Minion> onTrial(
      WaitingStep waiting, TaskGroup group, List<Minion> suitable, StepLoad load, long nowMillis) {
    boolean expendable =
        group.size() == 1
            && group.failures() == 0
            && waiting.workflow().maxAttempts() > 1
            && !Reclaim.mayPreempt(waiting);
    if (!expendable) {
      return null;
    }
    List<Minion> idle =
        suitable.stream()
            .filter(minion -> minion.health().isOnTrial(nowMillis) && minion.isIdle())
            .toList();
    Minion minion = Places.tightest(waiting, idle, Minion::free, load);
    return minion == null ? null : List.of(minion);
  }

  private static @Nullable List<Minion> find(
      WaitingStep waiting, TaskGroup group, List<Minion> minions, StepLoad load) {
    if (group.size() > 1) {
      return Places.gang(waiting, group.size(), minions, Minion::free, load);
    }
    Minion minion = Places.tightest(waiting, minions, Minion::free, load);
    return minion == null ? null : List.of(minion);
  }

  private boolean preemptFor(
      WaitingStep waiting, TaskGroup group, List<Minion> suitable, StepLoad load, long nowMillis) {
    Reclaim.Plan plan = reclaim.plan(waiting, group.size(), suitable, load, nowMillis);
    if (plan == null) {
      return false;
    }
    Placement placement = new Placement(waiting, group, plan.minions());
    Reservation reservation =
        new Reservation(
            placement,
            plan.victims(),
            nowMillis + settings.stopTimeoutMillis() + RESERVATION_MARGIN_MILLIS);
    plan.victims().forEach(victim -> effects.preempt(victim, placement));
    plan.minions().forEach(load::add);
    reservation.take();
    reservations.put(group, reservation);
    return true;
  }
}
