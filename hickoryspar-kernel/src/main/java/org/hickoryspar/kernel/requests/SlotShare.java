package org.hickoryspar.kernel.requests;

/**
 * How the slots and connections of one minion are divided among the entries.
 *
 * <p>Each entry owns a base share without asking. The remainder of the slots is leased by the
 * control leader; each leased slot carries a fixed part of the remaining connections, so that the
 * sum over all entries cannot exceed the minion's limits.
 *
 * @param baseSlots slots that each entry owns
 * @param baseConnections connections that each entry owns
 * @param leasableSlots slots that the leader may lease, over all entries
 * @param connectionsPerLeasedSlot connections that come with each leased slot
 */
public record SlotShare(
    int baseSlots, int baseConnections, int leasableSlots, int connectionsPerLeasedSlot) {

  /**
   * Divides the limits of a minion.
   *
   * @param slots most requests at a time, over all entries
   * @param connections most connections at a time, over all entries
   * @param entries number of configured entries, at least 1
   * @return the division
   * @throws IllegalArgumentException if a number is negative or there is no entry
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
   * Returns the most requests that an entry may have at the minion.
   *
   * @param leasedSlots slots that the entry holds under a lease
   * @return the number, never more than its connections
   */
  public int maxSlots(int leasedSlots) {
    return Math.min(baseSlots + leasedSlots, maxConnections(leasedSlots));
  }

  /**
   * Returns the most connections that an entry may have to the minion.
   *
   * @param leasedSlots slots that the entry holds under a lease
   * @return the number
   */
  public int maxConnections(int leasedSlots) {
    return baseConnections + leasedSlots * connectionsPerLeasedSlot;
  }
}
