package org.hickoryspar.kernel.requests;

/**
 * The division of one minion's slots and connections among the entries.
 *
 * <p>Each entry may use a base share without a lease. The control leader leases the remaining
 * slots; each leased slot includes a fixed number of the remaining connections, so that the sum
 * over all entries cannot exceed the minion's limits.
 *
 * @param baseSlots slots that each entry may use without a lease
 * @param baseConnections connections that each entry may use without a lease
 * @param leasableSlots slots that the leader may lease to all entries together
 * @param connectionsPerLeasedSlot connections included with each leased slot
 */
public record SlotShare(
    int baseSlots, int baseConnections, int leasableSlots, int connectionsPerLeasedSlot) {

  /**
   * Divides the limits of a minion among the entries.
   *
   * @param slots maximum number of concurrent requests from all entries
   * @param connections maximum number of concurrent connections from all entries
   * @param entries number of configured entries, at least 1
   * @return the shares
   * @throws IllegalArgumentException if a limit is negative or {@code entries} is below 1
   */
  public static SlotShare of(int slots, int connections, int entries) {
    if (slots < 0 || connections < 0 || entries < 1) {
      throw new IllegalArgumentException(
          "slots " + slots + ", connections " + connections + ", entries " + entries);
    }
    int baseSlots = slots / entries;
    int baseConnections = connections / entries;
    int leasableSlots = slots - baseSlots * entries;
    int connectionsPerLeasedSlot =
        leasableSlots == 0 ? 0 : (connections - baseConnections * entries) / leasableSlots;
    return new SlotShare(baseSlots, baseConnections, leasableSlots, connectionsPerLeasedSlot);
  }

  /**
   * Returns the maximum number of concurrent requests of one entry to the minion.
   *
   * @param leasedSlots number of slots that the entry has leased
   * @return the number of requests, at most the number of connections
   */
  public int maxSlots(int leasedSlots) {
    return Math.min(baseSlots + leasedSlots, maxConnections(leasedSlots));
  }

  /**
   * Returns the maximum number of concurrent connections of one entry to the minion.
   *
   * @param leasedSlots number of slots that the entry has leased
   * @return the number of connections
   */
  public int maxConnections(int leasedSlots) {
    return baseConnections + leasedSlots * connectionsPerLeasedSlot;
  }
}
