package org.hickoryspar.kernel.requests;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class SlotShareTest {

  private static final long LEASE_MILLIS = 3_000;

  // -- of

  /** Columns: entries, base slots, leasable slots, base connections. */
  @DataProvider
  Object[][] shares() {
    return new Object[][] {
      {1, 8, 0, 60}, {3, 2, 2, 20}, {6, 1, 2, 10}, {9, 0, 8, 6}, {61, 0, 8, 0}
    };
  }

  /** Guards against a share that leaves an entry without slots or exceeds the minion's limits. */
  @Test(dataProvider = "shares")
  public void shouldDivideTheLimits(int entries, int slots, int leasable, int connections) {
    SlotShare share = SlotShare.of(8, 60, entries);
    assertEquals(share.baseSlots(), slots);
    assertEquals(share.leasableSlots(), leasable);
    assertEquals(share.baseConnections(), connections);
  }

  // -- grant

  @DataProvider
  Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}, {5L}, {8L}};
  }

  /**
   * Guards against more than 8 slots or 60 connections in use at a minion, for any number of
   * entries, while leases are granted, reduced, renewed late and released.
   */
  @Test(dataProvider = "seeds")
  public void shouldNotExceedTheLimitsOverAllEntries(long seed) {
    Random random = new Random(seed);
    for (int round = 0; round < 200; round++) {
      int entries = 1 + random.nextInt(80);
      SlotShare share = SlotShare.of(8, 60, entries);
      SlotLeaseTable table = new SlotLeaseTable();
      int[] granted = new int[entries];
      int[] used = new int[entries];
      long[] expiresMillis = new long[entries];
      long now = 0;
      for (int step = 0; step < 300; step++) {
        now += random.nextInt(400);
        int entry = random.nextInt(entries);
        for (int i = 0; i < entries; i++) {
          // Requests that outlive a lease are not covered here: the entry renews its lease.
          if (expiresMillis[i] <= now) {
            granted[i] = 0;
            used[i] = Math.min(used[i], share.maxSlots(0));
          }
        }
        if (random.nextBoolean()) {
          int leasedInUse = Math.max(0, used[entry] - share.baseSlots());
          int demand = Math.max(leasedInUse, random.nextInt(share.leasableSlots() + 1));
          granted[entry] =
              table.grant("e" + entry, demand, share.leasableSlots(), now, LEASE_MILLIS);
          expiresMillis[entry] = now + LEASE_MILLIS;
        } else if (used[entry] < share.maxSlots(granted[entry])) {
          used[entry]++;
        } else if (used[entry] > 0) {
          used[entry]--;
        }
        int slots = 0;
        int connections = 0;
        for (int i = 0; i < entries; i++) {
          slots += used[i];
          connections += share.maxConnections(granted[i]);
        }
        assertTrue(slots <= 8, "seed " + seed + ": slots " + slots);
        assertTrue(connections <= 60, "seed " + seed + ": connections " + connections);
        assertTrue(table.reserved(now) <= share.leasableSlots());
      }
    }
  }

  /** Guards against an entry that keeps all leased slots while another needs some. */
  @Test
  public void shouldShareSlotsEquallyWhenSeveralEntriesDemandThem() {
    SlotLeaseTable table = new SlotLeaseTable();
    assertEquals(table.grant("a", 8, 8, 0, LEASE_MILLIS), 8);
    assertEquals(table.grant("b", 8, 8, 100, LEASE_MILLIS), 0);
    assertEquals(table.grant("a", 8, 8, 200, LEASE_MILLIS), 4, "grant reduced, slots still in use");
    assertEquals(table.grant("b", 8, 8, 300, LEASE_MILLIS), 0);
    assertEquals(table.grant("a", 4, 8, 400, LEASE_MILLIS), 4, "slots released");
    assertEquals(table.grant("b", 8, 8, 500, LEASE_MILLIS), 4);
  }
}
