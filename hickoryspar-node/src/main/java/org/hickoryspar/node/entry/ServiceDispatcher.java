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

/** Queues the requests of one service and assigns them to minions; a shard with its own lock. */
final class ServiceDispatcher {

  /** What dispatchers share. */
  record Shared(
      Settings settings,
      EndpointTable table,
      HttpClient client,
      ConfigLease config,
      SlotLeases leases,
      EntryMetrics metrics,
      LongSupplier monotonicMillis) {

    int entries() {
      long configured =
          settings.instances().stream().filter(i -> i.entryPeerAddress() != null).count();
      return Math.max(1, (int) configured);
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
                          .filter(i -> i.dataCentre().equals(dataCentre))
                          .map(Settings.InstanceSettings::region)
                          .findFirst());
      return region.isPresent() && region.get().equals(settings.region()) ? 1 : 2;
    }
  }

  /** How the end of an attempt counts for the circuit of the minion. */
  enum Health {
    GOOD,
    BAD,
    NEUTRAL
  }

  private final String service;
  private final Shared shared;
  private final BiConsumer<ServiceCall, MinionState> launcher;
  private final BiConsumer<ServiceCall, String> rejecter;
  private final FairQueue<ServiceCall> queue;
  private final Map<String, MinionState> minions = new HashMap<>();
  private long tableVersion = -1;

  /**
   * Creates a dispatcher without minions.
   *
   * @param launcher starts an attempt at a minion whose slot has been taken
   * @param rejecter answers not-run with a code
   */
  ServiceDispatcher(
      String service,
      int queueLength,
      Shared shared,
      BiConsumer<ServiceCall, MinionState> launcher,
      BiConsumer<ServiceCall, String> rejecter) {
    this.service = service;
    this.shared = shared;
    this.launcher = launcher;
    this.rejecter = rejecter;
    this.queue = new FairQueue<>(queueLength);
  }

  /** Reserves a place in the queue. */
  synchronized boolean reserve(String team) {
    return queue.reserve(team);
  }

  /** Gives back a place whose request does not wait after all. */
  synchronized void releasePlace(String team) {
    queue.release(team);
  }

  /** Returns whether a minion of the service may get new requests. */
  synchronized boolean hasMinion(FleetView view) {
    refresh();
    return minions.values().stream().anyMatch(m -> isAllowed(m, view));
  }

  /** Returns whether a minion that the request has not tried may get new requests. */
  synchronized boolean hasUntried(ServiceCall call) {
    refresh();
    Optional<FleetView> view = shared.config.current();
    return view.isPresent()
        && minions.values().stream()
            .anyMatch(m -> !call.hasTried(m.id()) && isAllowed(m, view.get()));
  }

  /** Puts a request with a reserved place into the queue. */
  void enqueue(ServiceCall call) {
    synchronized (this) {
      queue.offer(item(call));
    }
    dispatch();
  }

  /** Puts a request whose attempt has ended back to the front of the queue. */
  void requeue(ServiceCall call) {
    synchronized (this) {
      queue.requeue(item(call));
    }
    dispatch();
  }

  /** Assigns waiting requests to free slots. */
  void dispatch() {
    List<ServiceCall> expired = new ArrayList<>();
    List<ServiceCall> unleased = new ArrayList<>();
    List<Launch> launches = new ArrayList<>();
    long now = shared.monotonicMillis.getAsLong();
    synchronized (this) {
      Optional<FleetView> view = shared.config.current();
      if (view.isEmpty()) {
        queue.removeExpired(Long.MAX_VALUE).forEach(item -> unleased.add(item.value()));
      } else {
        refresh();
        queue.removeExpired(now).forEach(item -> expired.add(item.value()));
        assign(view.get(), now, launches);
      }
    }
    unleased.forEach(call -> rejecter.accept(call, "no-configuration-lease"));
    expired.forEach(call -> rejecter.accept(call, "deadline"));
    launches.forEach(launch -> launcher.accept(launch.call, launch.minion));
  }

  private void assign(FleetView view, long now, List<Launch> launches) {
    List<FairQueue.Item<ServiceCall>> late = new ArrayList<>();
    while (true) {
      Optional<FairQueue.Item<ServiceCall>> next = queue.poll(now, late);
      if (next.isEmpty()) {
        return;
      }
      ServiceCall call = next.get().value();
      Optional<MinionState> minion = choose(call, view, now);
      if (minion.isEmpty()) {
        queue.requeue(next.get());
        return;
      }
      minion.get().take();
      minion.get().breaker().onSend(now);
      call.attemptStarted(minion.get().id());
      launches.add(new Launch(call, minion.get()));
    }
  }

  /** Prefers minions that the request has not tried; others only when there are no such. */
  private Optional<MinionState> choose(ServiceCall call, FleetView view, long now) {
    List<MinionState> allowed = new ArrayList<>();
    List<MinionState> untried = new ArrayList<>();
    for (MinionState minion : minions.values()) {
      if (isAllowed(minion, view)) {
        allowed.add(minion);
        if (!call.hasTried(minion.id())) {
          untried.add(minion);
        }
      }
    }
    List<MinionChooser.Candidate<MinionState>> candidates = new ArrayList<>();
    for (MinionState minion : untried.isEmpty() ? allowed : untried) {
      if (minion.breaker().permits(now)) {
        candidates.add(
            new MinionChooser.Candidate<>(
                minion,
                shared.distance(view, minion.endpoint().getDataCentre()),
                minion.inUse(),
                minion.share().maxSlots(shared.leases.leased(minion.id()))));
      }
    }
    return MinionChooser.choose(candidates, ThreadLocalRandom.current());
  }

  /** Frees the slot of an attempt that has ended. */
  void attemptEnded(MinionState minion, Health health) {
    boolean opened = false;
    synchronized (this) {
      minion.giveBack();
      switch (health) {
        case GOOD -> minion.breaker().onSuccess();
        case BAD -> opened = minion.breaker().onFailure(shared.monotonicMillis.getAsLong());
        default -> minion.breaker().onNeutral();
      }
    }
    if (opened) {
      shared.metrics.circuitOpened(service);
      EventLogger.log(EntryEvent.CIRCUIT_OPENED, minion.id());
    }
  }

  /** Returns whether a request may be sent to a minion at this moment. */
  boolean maySend(ServiceCall call, MinionState minion) {
    long now = shared.monotonicMillis.getAsLong();
    Optional<FleetView> view = shared.config.current();
    synchronized (this) {
      refresh();
      return view.isPresent()
          && now < call.order().deadlineMillis()
          && isAllowed(minion, view.get());
    }
  }

  /** Returns the most connections to a minion at this moment. */
  synchronized int maxConnections(MinionState minion) {
    return minion.share().maxConnections(shared.leases.leased(minion.id()));
  }

  /** Adds the slots that this entry uses or wants beyond its base share. */
  synchronized void addDemands(Map<String, Integer> demands) {
    int waiting = queue.size();
    for (MinionState minion : minions.values()) {
      int used = Math.max(0, minion.inUse() - minion.share().baseSlots());
      int wanted = used;
      if (shared.leases.isShort(minion.id())) {
        // Asking for no more than what is held lets the leader take back what it recalled.
        wanted = Math.max(used, shared.leases.leased(minion.id()));
      } else if (waiting > 0) {
        wanted = used + (waiting + minions.size() - 1) / minions.size();
      }
      wanted = Math.min(wanted, minion.share().leasableSlots());
      if (wanted > 0) {
        demands.put(minion.id(), wanted);
      }
    }
  }

  /** Expires waiting requests, probes connections and reports metrics. */
  void tick(boolean probe) {
    dispatch();
    List<Runnable> pools = new ArrayList<>();
    synchronized (this) {
      int open = 0;
      int inUse = 0;
      for (MinionState minion : minions.values()) {
        open += minion.breaker().isOpen() ? 1 : 0;
        inUse += minion.inUse();
        MinionPool pool = minion.pool();
        int most = maxConnections(minion);
        pools.add(() -> pool.tick(most));
      }
      shared.metrics.state(service, queue.size(), open, inUse);
    }
    if (probe) {
      pools.forEach(Runnable::run);
    }
  }

  private static boolean isAllowed(MinionState minion, FleetView view) {
    return !minion.isGone() && !view.isOut(minion.endpoint().getDataCentre());
  }

  /** Takes over changes of the endpoint table. */
  private void refresh() {
    long version = shared.table.version();
    if (version == tableVersion) {
      return;
    }
    tableVersion = version;
    Set<String> seen = new HashSet<>();
    for (Endpoint endpoint : shared.table.live(service, shared.monotonicMillis.getAsLong())) {
      seen.add(endpoint.getMinionId());
      SlotShare share =
          SlotShare.of(endpoint.getSlots(), endpoint.getConnections(), shared.entries());
      MinionState known = minions.get(endpoint.getMinionId());
      if (known == null) {
        minions.put(endpoint.getMinionId(), new MinionState(endpoint, newPool(endpoint), share));
      } else if (!known.isGone() && known.endpoint().getAddress().equals(endpoint.getAddress())) {
        known.update(endpoint, known.pool(), share);
      } else {
        known.pool().close();
        known.update(endpoint, newPool(endpoint), share);
      }
    }
    for (MinionState minion : minions.values()) {
      if (!seen.contains(minion.id())) {
        minion.leave();
      }
    }
    // A minion with running requests stays, so that its slots still count if it comes back.
    minions.values().removeIf(minion -> minion.isGone() && minion.inUse() == 0);
  }

  private MinionPool newPool(Endpoint endpoint) {
    return new MinionPool(
        endpoint.getMinionId(), endpoint.getAddress(), shared.client, shared.monotonicMillis);
  }

  private static FairQueue.Item<ServiceCall> item(ServiceCall call) {
    ServiceCall.Order order = call.order();
    return new FairQueue.Item<>(order.team(), order.urgent(), order.deadlineMillis(), call);
  }

  private record Launch(ServiceCall call, MinionState minion) {}
}
