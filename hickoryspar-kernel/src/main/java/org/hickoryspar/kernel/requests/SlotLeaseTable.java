package org.hickoryspar.kernel.requests;

import static java.util.Objects.requireNonNull;

import java.util.HashMap;
import java.util.Map;

/**
 * The slots of one minion that the control leader has leased to entries.
 *
 * <p>If several entries demand slots, each is granted at most an equal share. When a grant shrinks,
 * the slots stay reserved until the entry demands fewer or its lease expires, because requests may
 * still run on them. Leases are not durable: a new leader must wait for the length of a lease
 * before it grants. Not thread-safe.
 */
public final class SlotLeaseTable {

  private final Map<String, Lease> leases = new HashMap<>();

  /** Creates a table without leases. */
  public SlotLeaseTable() {}

  /**
   * Grants or renews the lease of an entry.
   *
   * @param entry identifier of the entry
   * @param demand number of slots beyond its base share that the entry uses or needs; 0 releases
   *     its lease
   * @param leasableSlots number of slots that may be leased to all entries together
   * @param nowMillis monotonic time in milliseconds
   * @param leaseMillis duration of the lease in milliseconds
   * @return the number of slots granted until {@code nowMillis + leaseMillis}
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
   * Returns the number of slots that are leased or not yet released.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return the number of reserved slots
   */
  public int reserved(long nowMillis) {
    return leases.values().stream()
        .filter(lease -> lease.expiresMillis > nowMillis)
        .mapToInt(Lease::reserved)
        .sum();
  }

  private record Lease(int reserved, long expiresMillis) {}
}
