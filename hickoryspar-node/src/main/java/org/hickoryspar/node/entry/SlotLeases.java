package org.hickoryspar.node.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.hickoryspar.protocol.SlotDemand;
import org.hickoryspar.protocol.SlotLeaseGrant;
import org.hickoryspar.protocol.SlotLeaseRequest;

/** Leases the slots beyond the base share that this entry needs. */
final class SlotLeases {

  private static final long TIMEOUT_MILLIS = 1_000;

  private final String instanceId;
  private final ControlLink control;
  private final LongSupplier monotonicMillis;
  private final Supplier<Map<String, Integer>> demandSupplier;
  private final Runnable onChange;
  private final AtomicBoolean inFlight = new AtomicBoolean();
  private volatile Map<String, Integer> lastDemands = Map.of();
  private volatile GrantedSlots grantedSlots = new GrantedSlots(Map.of(), Long.MIN_VALUE);

  SlotLeases(
      String instanceId,
      ControlLink control,
      LongSupplier monotonicMillis,
      Supplier<Map<String, Integer>> demandSupplier,
      Runnable onChange) {
    this.instanceId = instanceId;
    this.control = control;
    this.monotonicMillis = monotonicMillis;
    this.demandSupplier = demandSupplier;
    this.onChange = onChange;
  }

  /** Returns the number of leased slots of a minion, 0 after the lease has expired. */
  int leasedSlots(String minionId) {
    GrantedSlots current = grantedSlots;
    return monotonicMillis.getAsLong() < current.expiresMillis
        ? current.slotsByMinion.getOrDefault(minionId, 0)
        : 0;
  }

  /** Returns whether this entry has fewer leased slots of a minion than it last demanded. */
  boolean hasUnmetDemand(String minionId) {
    return leasedSlots(minionId) < lastDemands.getOrDefault(minionId, 0);
  }

  /** Requests leases if slots are needed or were demanded before; a demand of 0 releases them. */
  void tick() {
    Map<String, Integer> demands = new HashMap<>(demandSupplier.get());
    lastDemands.keySet().forEach(minionId -> demands.putIfAbsent(minionId, 0));
    if (demands.isEmpty() || !inFlight.compareAndSet(false, true)) {
      return;
    }
    SlotLeaseRequest.Builder request = SlotLeaseRequest.newBuilder().setEntryInstance(instanceId);
    demands.forEach(
        (minionId, slots) ->
            request.addDemands(SlotDemand.newBuilder().setMinion(minionId).setSlots(slots)));
    long sentMillis = monotonicMillis.getAsLong();
    var unused =
        control
            .leaseSlots(request.build(), TIMEOUT_MILLIS)
            .whenComplete(
                (result, failure) -> {
                  if (failure == null) {
                    result.fold(
                        problem -> false,
                        grant -> {
                          handleGrant(demands, grant, sentMillis);
                          return true;
                        });
                  }
                  inFlight.set(false);
                  onChange.run();
                });
  }

  private void handleGrant(Map<String, Integer> demands, SlotLeaseGrant grant, long sentMillis) {
    Map<String, Integer> granted = new HashMap<>();
    for (SlotDemand slotGrant : grant.getGrantsList()) {
      if (demands.getOrDefault(slotGrant.getMinion(), 0) > 0) {
        granted.put(slotGrant.getMinion(), slotGrant.getSlots());
      }
    }
    demands.values().removeIf(slots -> slots == 0);
    lastDemands = Map.copyOf(demands);
    grantedSlots =
        new GrantedSlots(
            Map.copyOf(granted), sentMillis + Integer.toUnsignedLong(grant.getLeaseMillis()));
  }

  private record GrantedSlots(Map<String, Integer> slotsByMinion, long expiresMillis) {}
}
