package org.hickoryspar.kernel.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hickoryspar.kernel.catalog.CatalogState;
import org.hickoryspar.kernel.quota.TeamQuotas;
import org.hickoryspar.kernel.value.Resources;
import org.hickoryspar.kernel.workflow.TaskGroup;
import org.hickoryspar.protocol.Queue;

/** The placements that wait until the victims of their preemption have stopped. */
final class PendingPlacements {

  private final CatalogState catalog;
  private final RunTable runs;
  private final TeamQuotas quotas;
  private final Planner.PlanExecutor executor;
  private final Map<TaskGroup, PendingPlacement> placements = new LinkedHashMap<>();

  PendingPlacements(CatalogState catalog, RunTable runs, Planner.PlanExecutor executor) {
    this.catalog = catalog;
    this.runs = runs;
    this.quotas = runs.teamQuotas();
    this.executor = executor;
  }

  boolean contains(TaskGroup group) {
    return placements.containsKey(group);
  }

  /** Adds a placement and reserves its resources, also in the quota of its team. */
  void add(PendingPlacement pending) {
    reserve(pending);
    placements.put(pending.placement().group(), pending);
  }

  /**
   * Starts the placements whose resources are free and for which their teams have room. A placement
   * is dropped when its group starts or ends, when one of its minions becomes unusable, when its
   * queue is sent to another service, or when its reservation expires.
   */
  void startReady(MinionPools pools, long nowMillis, long wallMillis) {
    for (PendingPlacement pending : List.copyOf(placements.values())) {
      Placement placement = pending.placement();
      release(pending);
      if (isObsolete(placement)
          || !isUsable(placement, pools)
          || nowMillis >= pending.untilMillis()) {
        placements.remove(placement.group());
      } else if (pending.hasFreeResources() && isWithinQuota(placement)) {
        placements.remove(placement.group());
        executor.start(placement, nowMillis, wallMillis);
      } else {
        reserve(pending);
      }
    }
  }

  private void reserve(PendingPlacement pending) {
    pending.reserve();
    WaitingStep waitingStep = pending.placement().waitingStep();
    quotas.reservations().add(waitingStep.team(), declaredDemandOf(pending.placement()));
  }

  private void release(PendingPlacement pending) {
    pending.release();
    WaitingStep waitingStep = pending.placement().waitingStep();
    quotas.reservations().remove(waitingStep.team(), declaredDemandOf(pending.placement()));
  }

  private static Resources declaredDemandOf(Placement placement) {
    return placement.waitingStep().declaredDemand().times(placement.group().size());
  }

  private boolean isWithinQuota(Placement placement) {
    WaitingStep waitingStep = placement.waitingStep();
    return quotas
        .checkReserved(waitingStep.team(), waitingStep.declaredDemand(), placement.group().size())
        .isEmpty();
  }

  private boolean isObsolete(Placement placement) {
    TaskGroup group = placement.group();
    return placement.waitingStep().workflow().isEnded() || group.isDone() || runs.hasRun(group);
  }

  private boolean isUsable(Placement placement, MinionPools pools) {
    Queue acceptedQueue = placement.waitingStep().workflow().queue();
    String service = catalog.view().currentQueue(acceptedQueue).getService();
    return pools.areUsable(placement.minions()) && placement.isWithin(service);
  }
}
