package org.hickoryspar.node.control;

import java.util.HashMap;
import java.util.Map;
import java.util.function.LongSupplier;
import org.hickoryspar.kernel.requests.SlotLeaseTable;
import org.hickoryspar.protocol.SlotDemand;
import org.hickoryspar.protocol.SlotLeaseGrant;
import org.hickoryspar.protocol.SlotLeaseRequest;

/**
 * Leases to entries the request slots of minions that are in no entry's base share, on the leader.
 *
 * <p>Leases are not durable. A new leader grants none for the duration of a lease, because its
 * predecessor may have leased the same slots. Thread-safe.
 */
final class SlotService {

  /** Duration of a slot lease; the entry counts it from the time of its request. */
  static final int LEASE_MILLIS = 3_000;

  /** Allowance for clocks that run at different rates. */
  static final int CLOCK_DRIFT_MILLIS = 300;

  static final int SLOTS_PER_MINION = 8;

  private final int leasableSlotsPerMinion;
  private final LongSupplier monotonicMillis;
  private final Map<String, SlotLeaseTable> leasesByMinion = new HashMap<>();
  private long term = -1;
  private long firstGrantMillis;

  SlotService(int entryCount, LongSupplier monotonicMillis) {
    this.leasableSlotsPerMinion = SLOTS_PER_MINION - SLOTS_PER_MINION / entryCount * entryCount;
    this.monotonicMillis = monotonicMillis;
  }

  synchronized SlotLeaseGrant lease(SlotLeaseRequest request, long currentTerm) {
    long nowMillis = monotonicMillis.getAsLong();
    if (currentTerm != term) {
      term = currentTerm;
      leasesByMinion.clear();
      firstGrantMillis = nowMillis + LEASE_MILLIS + CLOCK_DRIFT_MILLIS;
    }
    SlotLeaseGrant.Builder grant = SlotLeaseGrant.newBuilder().setLeaseMillis(LEASE_MILLIS);
    if (nowMillis >= firstGrantMillis) {
      for (SlotDemand demand : request.getDemandsList()) {
        int slots = grant(request.getEntryInstance(), demand, nowMillis);
        if (slots > 0) {
          grant.addGrants(SlotDemand.newBuilder().setMinion(demand.getMinion()).setSlots(slots));
        }
      }
    }
    return grant.build();
  }

  private int grant(String entry, SlotDemand demand, long nowMillis) {
    return leasesByMinion
        .computeIfAbsent(demand.getMinion(), minion -> new SlotLeaseTable())
        .grant(
            entry,
            demand.getSlots(),
            leasableSlotsPerMinion,
            nowMillis,
            LEASE_MILLIS + CLOCK_DRIFT_MILLIS);
  }
}
