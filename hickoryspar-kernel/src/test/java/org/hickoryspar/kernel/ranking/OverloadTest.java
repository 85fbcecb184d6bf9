package org.hickoryspar.kernel.ranking;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.testng.annotations.Test;

/** Tests when an overload begins and ends. */
public class OverloadTest {

  /** Guards against an order that changes although all work fits. */
  @Test
  void shouldNotBeginWhileTheWorkFits() {
    Overload overload = new Overload();
    for (long nowMillis = 0; nowMillis < 60_000; nowMillis += 100) {
      assertEquals(overload.update(99, nowMillis), Optional.empty());
    }
    assertFalse(overload.isActive());
  }

  /** Guards against an order that changes to and fro at a load about as large as the room. */
  @Test
  void shouldChangeOnceWhenTheLoadVariesAroundTheRoom() {
    Overload overload = new Overload();
    int changes = 0;
    for (long nowMillis = 0; nowMillis < 60_000; nowMillis += 100) {
      int percent = nowMillis % 1_000 < 500 ? 101 : 70;
      changes += overload.update(percent, nowMillis).isPresent() ? 1 : 0;
    }
    assertEquals(changes, 1);
    assertTrue(overload.isActive());
  }

  /** Guards against an overload without an end, and an end without its figures. */
  @Test
  void shouldEndAfterTheLoadHasBeenLowForSomeTime() {
    Overload overload = new Overload();
    overload.update(120, 0);
    overload.update(250, 1_000);
    overload.update(50, 2_000);

    Optional<Overload.Change> change = overload.update(40, 4_000);

    assertEquals(change, Optional.of(new Overload.Change(false, 40, 250, 4_000)));
    assertFalse(overload.isActive());
  }
}
