package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hickoryspar.kernel.catalog.CatalogState;
import org.hickoryspar.kernel.ranking.BacklogItem;
import org.hickoryspar.kernel.ranking.BacklogPressure;
import org.hickoryspar.kernel.ranking.RunningWork;
import org.hickoryspar.kernel.ranking.TeamShares;
import org.hickoryspar.kernel.value.Resources;

/**
 * Measures the backlog of each service and arranges the steps of those that are overloaded. The
 * state is rebuilt from the waiting and the running work, so a new leader needs none of it.
 */
final class Backlogs {

  /** Minimum interval between two measurements. */
  private static final long MEASURE_INTERVAL_MILLIS = 500;

  private static final String BY_URGENCY = "by urgency";

  private final DispatchSettings settings;
  private final CatalogState catalog;
  private final MinionTable minions;
  private final RunTable runs;
  private final RunTimeEstimates runTimeEstimates;
  private final DispatchListener listener;
  private final Map<String, ServiceBacklog> backlogByService = new HashMap<>();
  private Map<String, TeamShares> sharesByService = Map.of();
  private long nextMeasurementMillis = Long.MIN_VALUE;

  Backlogs(
      DispatchSettings settings,
      CatalogState catalog,
      MinionTable minions,
      RunTable runs,
      RunTimeEstimates runTimeEstimates,
      DispatchListener listener) {
    this.settings = settings;
    this.catalog = catalog;
    this.minions = minions;
    this.runs = runs;
    this.runTimeEstimates = runTimeEstimates;
    this.listener = listener;
  }

  /**
   * Returns the steps in the order in which they are served. Only the steps of overloaded services
   * change places, among themselves.
   *
   * @param steps all waiting steps in the order of their urgency
   */
  List<RankedStep> arrange(List<RankedStep> steps, long nowMillis, long wallMillis) {
    Map<String, List<RankedStep>> stepsByService = new LinkedHashMap<>();
    for (RankedStep step : steps) {
      stepsByService.computeIfAbsent(step.service(), service -> new ArrayList<>()).add(step);
    }
    if (nowMillis >= nextMeasurementMillis) {
      nextMeasurementMillis = nowMillis + MEASURE_INTERVAL_MILLIS;
      measure(stepsByService, nowMillis, wallMillis);
    }
    stepsByService.keySet().removeIf(service -> !isOverloaded(service));
    sharesByService = new HashMap<>();
    stepsByService.replaceAll(
        (service, serviceSteps) -> {
          TeamShares shares = measureShares(service);
          sharesByService.put(service, shares);
          return backlog(service).order(serviceSteps, shares, wallMillis);
        });
    return replaceInPlace(steps, stepsByService);
  }

  private static List<RankedStep> replaceInPlace(
      List<RankedStep> steps, Map<String, List<RankedStep>> orderByService) {
    if (orderByService.isEmpty()) {
      return steps;
    }
    Map<String, Integer> nextIndex = new HashMap<>();
    List<RankedStep> arranged = new ArrayList<>(steps.size());
    for (RankedStep step : steps) {
      List<RankedStep> order = orderByService.get(step.service());
      arranged.add(
          order == null ? step : order.get(nextIndex.merge(step.service(), 1, Integer::sum) - 1));
    }
    return arranged;
  }

  private void measure(
      Map<String, List<RankedStep>> stepsByService, long nowMillis, long wallMillis) {
    stepsByService.keySet().forEach(this::backlog);
    RemainingTimes remainingTimes =
        new RemainingTimes(runTimeEstimates, settings.stopTimeoutMillis(), nowMillis);
    backlogByService.forEach(
        (service, backlog) -> {
          List<RankedStep> steps = stepsByService.getOrDefault(service, List.of());
          int percent =
              steps.isEmpty() ? 0 : pressurePercent(service, steps, remainingTimes, wallMillis);
          backlog.update(percent, steps.size(), nowMillis);
        });
    backlogByService.values().removeIf(ServiceBacklog::isEmpty);
  }

  private int pressurePercent(
      String service, List<RankedStep> steps, RemainingTimes remainingTimes, long wallMillis) {
    List<RunningWork> running = new ArrayList<>();
    for (Minion minion : minions.all()) {
      if (isRoomOf(service, minion)) {
        for (Member member : minion.members()) {
          long remainingMillis = remainingTimes.remainingMillis(member.run());
          boolean isPreemptible = PreemptionPlanner.isPreemptible(member.run());
          running.add(new RunningWork(member.demand(), isPreemptible, remainingMillis));
        }
      }
    }
    List<BacklogItem> waiting = steps.stream().map(RankedStep::toBacklogItem).toList();
    return BacklogPressure.percent(capacityOf(service), running, waiting, wallMillis);
  }

  private static boolean isRoomOf(String service, Minion minion) {
    return minion.acceptsWork() && minion.service().equals(service);
  }

  private Resources capacityOf(String service) {
    Resources capacity = Resources.NONE;
    for (Minion minion : minions.all()) {
      if (isRoomOf(service, minion)) {
        capacity = capacity.plus(minion.capacity());
      }
    }
    return capacity;
  }

  private TeamShares measureShares(String service) {
    TeamShares shares = new TeamShares(capacityOf(service), catalog.view()::teamWeight);
    for (Minion minion : minions.all()) {
      if (minion.service().equals(service)) {
        minion.members().forEach(member -> shares.add(member.run().team(), member.demand()));
      }
    }
    return shares;
  }

  private ServiceBacklog backlog(String service) {
    return backlogByService.computeIfAbsent(
        service, name -> new ServiceBacklog(name, runs, listener));
  }

  private boolean isOverloaded(String service) {
    ServiceBacklog backlog = backlogByService.get(service);
    return backlog != null && backlog.overload().isActive();
  }

  /** Describes for the log by what the steps of a service are ordered. */
  String describeOrder(WaitingStep waitingStep) {
    String service = waitingStep.queue().getService();
    TeamShares shares = sharesByService.get(service);
    if (shares == null) {
      return BY_URGENCY;
    }
    String team = waitingStep.team();
    return "overload: by share of the team, which uses "
        + shares.percent(team)
        + "% at a weight of "
        + shares.weight(team)
        + "; the backlog needs "
        + backlog(service).overload().pressurePercent()
        + "% of the room";
  }

  /** Returns the highest pressure of all services in percent. */
  int highestPressurePercent() {
    return backlogByService.values().stream()
        .mapToInt(backlog -> backlog.overload().pressurePercent())
        .max()
        .orElse(0);
  }

  /** Returns the number of overloaded services. */
  int overloadedServices() {
    return (int)
        backlogByService.values().stream().filter(backlog -> backlog.overload().isActive()).count();
  }
}
