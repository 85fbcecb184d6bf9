package org.hickoryspar.node.entry;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.hickoryspar.protocol.SlotDemand;
import org.hickoryspar.protocol.SlotLeaseGrant;
import org.hickoryspar.protocol.SlotLeaseRequest;

/** The slots beyond the base share that this entry holds under leases. */
final class SlotLeases {

  private static final long DEADLINE_MILLIS = 1_000;

  private final String instanceId;
  private final ControlLink control;
  private final LongSupplier monotonicMillis;
  private final Supplier<Map<String, Integer>> demands;
  private final Runnable onChange;
  private final AtomicBoolean inFlight = new AtomicBoolean();
  private volatile Map<String, Integer> lastDemands = Map.of();
  private volatile Grants grants = new Grants(Map.of(), Long.MIN_VALUE);

  SlotLeases(
      String instanceId,
      ControlLink control,
      LongSupplier monotonicMillis,
      Supplier<Map<String, Integer>> demands,
      Runnable onChange) {
    this.instanceId = instanceId;
    this.control = control;
    this.monotonicMillis = monotonicMillis;
    this.demands = demands;
    this.onChange = onChange;
  }

  /** Returns the leased slots of a minion, 0 once the lease has expired. */
  int leased(String minion) {
    Grants now = grants;
    return monotonicMillis.getAsLong() < now.untilMillis ? now.byMinion.getOrDefault(minion, 0) : 0;
  }

  /** Returns whether the last answer gave fewer slots than were asked for. */
  boolean isShort(String minion) {
    return leased(minion) < lastDemands.getOrDefault(minion, 0);
  }

  /** Asks for slots when some are wanted or held; a demand of 0 gives slots back. */
  void tick() {
    Map<String, Integer> wanted = new HashMap<>(demands.get());
    lastDemands.keySet().forEach(minion -> wanted.putIfAbsent(minion, 0));
    if (wanted.isEmpty() || !inFlight.compareAndSet(false, true)) {
      return;
    }
    SlotLeaseRequest.Builder request = SlotLeaseRequest.newBuilder().setEntryInstance(instanceId);
    wanted.forEach(
        (minion, slots) ->
            request.addDemands(SlotDemand.newBuilder().setMinion(minion).setSlots(slots)));
    long calledMillis = monotonicMillis.getAsLong();
    var unused =
        control
            .leaseSlots(request.build(), DEADLINE_MILLIS)
            .whenComplete(
                (result, failure) -> {
                  if (failure == null) {
                    result.fold(
                        problem -> false,
                        grant -> {
                          take(wanted, grant, calledMillis);
                          return true;
                        });
                  }
                  inFlight.set(false);
                  onChange.run();
                });
  }

  private void take(Map<String, Integer> wanted, SlotLeaseGrant grant, long calledMillis) {
    Map<String, Integer> granted = new HashMap<>();
    for (SlotDemand each : grant.getGrantsList()) {
      if (wanted.getOrDefault(each.getMinion(), 0) > 0) {
        granted.put(each.getMinion(), each.getSlots());
      }
    }
    wanted.values().removeIf(slots -> slots == 0);
    lastDemands = Map.copyOf(wanted);
    grants =
        new Grants(
            Map.copyOf(granted), calledMillis + Integer.toUnsignedLong(grant.getLeaseMillis()));
  }

  private record Grants(Map<String, Integer> byMinion, long untilMillis) {}
}
