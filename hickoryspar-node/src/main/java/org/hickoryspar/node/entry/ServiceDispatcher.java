package org.hickoryspar.node.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BiConsumer;
import java.util.function.LongSupplier;
import org.eclipse.jetty.client.HttpClient;
import org.hickoryspar.kernel.requests.EndpointTable;
import org.hickoryspar.kernel.requests.FairQueue;
import org.hickoryspar.kernel.requests.MinionChooser;
import org.hickoryspar.kernel.requests.SlotShare;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.node.settings.Settings;
import org.hickoryspar.protocol.Endpoint;

/**
 * Queues the requests of one service and assigns them to minions.
 *
 * <p>Thread-safe. Each service has its own dispatcher and lock, so that services do not contend.
 */
final class ServiceDispatcher {

  /** Dependencies that the dispatchers of all services share. */
  record SharedDependencies(
      Settings settings,
      EndpointTable endpointTable,
      HttpClient httpClient,
      ConfigLease configLease,
      SlotLeases slotLeases,
      EntryMetrics metrics,
      LongSupplier monotonicMillis) {

    int entryCount() {
      long configuredCount =
          settings.instances().stream()
              .filter(instance -> instance.entryPeerAddress() != null)
              .count();
      return Math.max(1, (int) configuredCount);
    }

    int distance(FleetView view, String dataCentre) {
      if (dataCentre.equals(settings.dataCentre())) {
        return 0;
      }
      Optional<String> region =
          view.regionOf(dataCentre)
              .or(
                  () ->
                      settings.instances().stream()
                          .filter(instance -> instance.dataCentre().equals(dataCentre))
                          .map(Settings.InstanceSettings::region)
                          .findFirst());
      return region.isPresent() && region.get().equals(settings.region()) ? 1 : 2;
    }
  }

  /** Effect of the end of an attempt on the circuit breaker of the minion. */
  enum HealthSignal {
    GOOD,
    BAD,
    NEUTRAL
  }

  /**
   * Maximum time for which a retry waits for a minion that the request has not tried, beside free
   * slots of tried ones. A circuit that has just opened permits a trial within this time.
   */
  private static final long RETRY_ELSEWHERE_MILLIS = 1_000;

  private final String service;
  private final SharedDependencies shared;
  private final BiConsumer<ServiceCall, MinionState> attemptStarter;
  private final BiConsumer<ServiceCall, String> rejectHandler;
  private final FairQueue<ServiceCall> queue;
  private final Map<String, MinionState> minions = new HashMap<>();
  private long tableVersion = -1;

  /**
   * Creates a dispatcher without minions.
   *
   * @param attemptStarter starts an attempt at a minion, with a slot that has been acquired
   * @param rejectHandler fails a request that was removed from the queue, with an error code
   */
  ServiceDispatcher(
      String service,
      int queueCapacity,
      SharedDependencies shared,
      BiConsumer<ServiceCall, MinionState> attemptStarter,
      BiConsumer<ServiceCall, String> rejectHandler) {
    this.service = service;
    this.shared = shared;
    this.attemptStarter = attemptStarter;
    this.rejectHandler = rejectHandler;
    this.queue = new FairQueue<>(queueCapacity);
  }

  /** Reserves capacity; returns false if the queue is full or the team has reached its share. */
  synchronized boolean reserve(String team) {
    return queue.reserve(team);
  }

  /** Releases a reservation whose request is not enqueued. */
  synchronized void releaseReservation(String team) {
    queue.release(team);
  }

  /** Returns whether a minion of the service may receive new requests. */
  synchronized boolean hasEligibleMinion(FleetView view) {
    refreshMinions();
    return minions.values().stream().anyMatch(minion -> isEligible(minion, view));
  }

  /** Returns whether a minion that the request has not tried may receive new requests. */
  synchronized boolean hasUntriedMinion(ServiceCall call) {
    refreshMinions();
    Optional<FleetView> view = shared.configLease.current();
    return view.isPresent() && hasEligibleUntriedMinion(call, view.get());
  }

  /** Appends a request for which capacity was reserved, and dispatches. */
  void enqueue(ServiceCall call) {
    synchronized (this) {
      queue.offer(queueItem(call));
    }
    dispatch();
  }

  /** Returns a request whose attempt has ended to the front of the queue, and dispatches. */
  void requeue(ServiceCall call) {
    long nowMillis = shared.monotonicMillis.getAsLong();
    long remainingMillis = call.parameters().deadlineMillis() - nowMillis;
    call.retryElsewhereUntil(nowMillis + Math.min(RETRY_ELSEWHERE_MILLIS, remainingMillis / 2));
    synchronized (this) {
      queue.requeue(queueItem(call));
    }
    dispatch();
  }

  /** Rejects queued requests that have expired and assigns the others to free slots. */
  void dispatch() {
    List<ServiceCall> expired = new ArrayList<>();
    List<ServiceCall> withoutConfig = new ArrayList<>();
    List<Assignment> assignments = new ArrayList<>();
    long nowMillis = shared.monotonicMillis.getAsLong();
    synchronized (this) {
      Optional<FleetView> view = shared.configLease.current();
      if (view.isEmpty()) {
        queue.removeExpired(Long.MAX_VALUE).forEach(item -> withoutConfig.add(item.value()));
      } else {
        refreshMinions();
        queue.removeExpired(nowMillis).forEach(item -> expired.add(item.value()));
        assignQueued(view.get(), nowMillis, assignments);
      }
    }
    withoutConfig.forEach(call -> rejectHandler.accept(call, "no-configuration-lease"));
    expired.forEach(call -> rejectHandler.accept(call, "deadline"));
    assignments.forEach(assignment -> attemptStarter.accept(assignment.call, assignment.minion));
  }

  private void assignQueued(FleetView view, long nowMillis, List<Assignment> assignments) {
    List<FairQueue.Item<ServiceCall>> expired = new ArrayList<>();
    while (!queue.isEmpty()) {
      List<MinionChooser.Candidate<MinionState>> free = freeMinions(view, nowMillis);
      if (free.isEmpty()) {
        return;
      }
      Optional<FairQueue.Item<ServiceCall>> next =
          queue.poll(
              nowMillis, expired, call -> !candidates(call, free, view, nowMillis).isEmpty());
      if (next.isEmpty()) {
        return;
      }
      ServiceCall call = next.get().value();
      MinionState minion =
          MinionChooser.choose(candidates(call, free, view, nowMillis), ThreadLocalRandom.current())
              .orElseThrow();
      minion.acquireSlot();
      minion.breaker().onSend(nowMillis);
      call.recordAttempt(minion.id());
      assignments.add(new Assignment(call, minion));
    }
  }

  /** Returns the eligible minions with a free slot whose circuit breaker permits a request. */
  private List<MinionChooser.Candidate<MinionState>> freeMinions(FleetView view, long nowMillis) {
    List<MinionChooser.Candidate<MinionState>> free = new ArrayList<>();
    for (MinionState minion : minions.values()) {
      int slots = minion.share().maxSlots(shared.slotLeases.leasedSlots(minion.id()));
      if (isEligible(minion, view)
          && minion.breaker().permits(nowMillis)
          && minion.slotsInUse() < slots) {
        int distance = shared.distance(view, minion.endpoint().getDataCentre());
        free.add(new MinionChooser.Candidate<>(minion, distance, minion.slotsInUse(), slots));
      }
    }
    return free;
  }

  /**
   * Returns the free minions that may receive a request now: those that it has not tried. If there
   * are none, it may be sent to a tried one, but not before a bounded wait if an untried one is
   * eligible.
   */
  private List<MinionChooser.Candidate<MinionState>> candidates(
      ServiceCall call,
      List<MinionChooser.Candidate<MinionState>> free,
      FleetView view,
      long nowMillis) {
    List<MinionChooser.Candidate<MinionState>> untried =
        free.stream().filter(candidate -> !call.hasTried(candidate.minion().id())).toList();
    if (!untried.isEmpty()) {
      return untried;
    }
    boolean waits =
        nowMillis < call.retryElsewhereUntilMillis() && hasEligibleUntriedMinion(call, view);
    return waits ? List.of() : free;
  }

  private boolean hasEligibleUntriedMinion(ServiceCall call, FleetView view) {
    return minions.values().stream()
        .anyMatch(minion -> !call.hasTried(minion.id()) && isEligible(minion, view));
  }

  /** Releases the slot of an ended attempt and updates the circuit breaker of the minion. */
  void handleAttemptEnd(MinionState minion, HealthSignal healthSignal) {
    boolean circuitOpened = false;
    synchronized (this) {
      minion.releaseSlot();
      switch (healthSignal) {
        case GOOD -> minion.breaker().onSuccess();
        case BAD -> circuitOpened = minion.breaker().onFailure(shared.monotonicMillis.getAsLong());
        default -> minion.breaker().onNeutral();
      }
    }
    if (circuitOpened) {
      shared.metrics.recordCircuitOpened(service);
      EventLogger.log(EntryEvent.CIRCUIT_OPENED, minion.id());
    }
  }

  /** Returns whether the deadline, the configuration and the endpoint still permit to send. */
  boolean maySend(ServiceCall call, MinionState minion) {
    long nowMillis = shared.monotonicMillis.getAsLong();
    Optional<FleetView> view = shared.configLease.current();
    synchronized (this) {
      refreshMinions();
      return view.isPresent()
          && nowMillis < call.parameters().deadlineMillis()
          && isEligible(minion, view.get());
    }
  }

  /** Returns the maximum number of connections of this entry to a minion under its leases. */
  synchronized int maxConnections(MinionState minion) {
    return minion.share().maxConnections(shared.slotLeases.leasedSlots(minion.id()));
  }

  /** Adds the number of slots beyond the base share that this entry uses or needs, by minion. */
  synchronized void addSlotDemands(Map<String, Integer> demands) {
    int queuedCount = queue.size();
    for (MinionState minion : minions.values()) {
      int leasedInUse = Math.max(0, minion.slotsInUse() - minion.share().baseSlots());
      int demand = leasedInUse;
      if (shared.slotLeases.hasUnmetDemand(minion.id())) {
        // The leader keeps slots reserved for this entry while it demands them. A demand of no more
        // than the granted slots releases those that the leader has recalled.
        demand = Math.max(leasedInUse, shared.slotLeases.leasedSlots(minion.id()));
      } else if (queuedCount > 0) {
        demand = leasedInUse + (queuedCount + minions.size() - 1) / minions.size();
      }
      demand = Math.min(demand, minion.share().leasableSlots());
      if (demand > 0) {
        demands.put(minion.id(), demand);
      }
    }
  }

  /**
   * Dispatches queued requests, rejects expired ones and updates the metrics.
   *
   * @param probeConnections whether to close or probe idle connections as well
   */
  void tick(boolean probeConnections) {
    dispatch();
    List<Runnable> poolTicks = new ArrayList<>();
    synchronized (this) {
      int openCircuits = 0;
      int slotsInUse = 0;
      for (MinionState minion : minions.values()) {
        openCircuits += minion.breaker().isOpen() ? 1 : 0;
        slotsInUse += minion.slotsInUse();
        MinionConnectionPool pool = minion.pool();
        int maxConnections = maxConnections(minion);
        poolTicks.add(() -> pool.tick(maxConnections));
      }
      shared.metrics.updateGauges(service, queue.size(), openCircuits, slotsInUse);
    }
    if (probeConnections) {
      poolTicks.forEach(Runnable::run);
    }
  }

  private static boolean isEligible(MinionState minion, FleetView view) {
    return !minion.isUnregistered() && !view.isOutOfService(minion.endpoint().getDataCentre());
  }

  /** Updates the minions if the endpoint table has changed. */
  private void refreshMinions() {
    long currentVersion = shared.endpointTable.version();
    if (currentVersion == tableVersion) {
      return;
    }
    tableVersion = currentVersion;
    Set<String> liveIds = new HashSet<>();
    for (Endpoint endpoint :
        shared.endpointTable.live(service, shared.monotonicMillis.getAsLong())) {
      liveIds.add(endpoint.getMinionId());
      SlotShare share =
          SlotShare.of(endpoint.getSlots(), endpoint.getConnections(), shared.entryCount());
      MinionState existing = minions.get(endpoint.getMinionId());
      if (existing == null) {
        minions.put(endpoint.getMinionId(), new MinionState(endpoint, newPool(endpoint), share));
      } else if (!existing.isUnregistered()
          && existing.endpoint().getAddress().equals(endpoint.getAddress())) {
        existing.update(endpoint, existing.pool(), share);
      } else {
        existing.pool().close();
        existing.update(endpoint, newPool(endpoint), share);
      }
    }
    for (MinionState minion : minions.values()) {
      if (!liveIds.contains(minion.id())) {
        minion.unregister();
      }
    }
    // A minion with running requests is kept: its slots in use must count if it registers again.
    minions.values().removeIf(minion -> minion.isUnregistered() && minion.slotsInUse() == 0);
  }

  private MinionConnectionPool newPool(Endpoint endpoint) {
    return new MinionConnectionPool(
        endpoint.getMinionId(), endpoint.getAddress(), shared.httpClient, shared.monotonicMillis);
  }

  private static FairQueue.Item<ServiceCall> queueItem(ServiceCall call) {
    ServiceCall.Parameters parameters = call.parameters();
    return new FairQueue.Item<>(
        parameters.team(), parameters.urgent(), parameters.deadlineMillis(), call);
  }

  private record Assignment(ServiceCall call, MinionState minion) {}
}
