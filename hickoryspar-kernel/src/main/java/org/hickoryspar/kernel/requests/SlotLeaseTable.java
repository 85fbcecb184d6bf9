package org.hickoryspar.kernel.requests;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;

/**
 * The leased slots of one minion, as the control leader sees them.
 *
 * <p>While several entries want slots, each gets at most an equal part. Slots that an entry is told
 * to give back stay reserved until it asks for fewer or its lease ends, because requests may still
 * run on them. Not safe for use by several threads; a new leader waits one lease before it grants.
 */
public final class SlotLeaseTable {

  private final Map<String, Lease> leases = new HashMap<>();

  /** Creates a table without leases. */
  public SlotLeaseTable() {}

  /**
   * Answers the demand of an entry.
   *
   * @param entry the entry
   * @param demand slots beyond its base share that it uses or wants, 0 to give all back
   * @param leasableSlots slots that may be leased over all entries
   * @param nowMillis monotonic time
   * @param leaseMillis life of the lease
   * @return slots granted until {@code nowMillis + leaseMillis}
   */
  public int grant(String entry, int demand, int leasableSlots, long nowMillis, long leaseMillis) {
    requireNonNull(entry, "entry is null");
    leases.values().removeIf(lease -> lease.expiresMillis <= nowMillis);
    Lease existing = leases.get(entry);
    int heldSlots = existing == null ? 0 : existing.reserved;
    if (demand <= 0) {
      leases.remove(entry);
      return 0;
    }
    int reservedByOthers = 0;
    int entryCount = 1;
    for (Map.Entry<String, Lease> other : leases.entrySet()) {
      if (!other.getKey().equals(entry)) {
        reservedByOthers += other.getValue().reserved;
        entryCount++;
      }
    }
    int equalShare = Math.max(1, leasableSlots / entryCount);
    int granted =
        Math.max(0, Math.min(Math.min(demand, equalShare), leasableSlots - reservedByOthers));
    int reserved = Math.max(granted, Math.min(demand, heldSlots));
    leases.put(entry, new Lease(reserved, nowMillis + leaseMillis));
    return granted;
  }

  /**
   * Returns the slots that are leased or not yet given back.
   *
   * @param nowMillis monotonic time
   * @return the number
   */
  public int reserved(long nowMillis) {
    return leases.values().stream()
        .filter(lease -> lease.expiresMillis > nowMillis)
        .mapToInt(Lease::reserved)
        .sum();
  }

  private record Lease(int reserved, long expiresMillis) {}
}
