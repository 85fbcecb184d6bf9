package org.hickoryspar.kernel.requests;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.UUID;
import org.hickoryspar.kernel.value.Problem;
import org.hickoryspar.protocol.Endpoint;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class RoutingRulesTest {

  // -- EndpointTable.apply

  /**
   * Columns: incarnation, sequence and leaving of the known version; the same of the received one;
   * whether the received one is newer.
   */
  @DataProvider
  Object[][] versions() {
    return new Object[][] {
      {1, 5, false, 1, 6, false, true},
      {1, 5, false, 1, 5, false, false},
      {1, 5, false, 1, 4, true, false},
      {1, 5, false, 1, 5, true, true},
      {1, 5, true, 1, 5, false, false},
      {1, 5, true, 1, 4, false, false},
      {1, 5, true, 1, 6, false, true},
      {1, 5, true, 2, 1, false, true},
      {2, 1, false, 1, 9, true, false},
    };
  }

  /** Guards against a delayed announcement that replaces a newer one or a leave. */
  @Test(dataProvider = "versions")
  public void shouldApplyOnlyNewerVersions(
      int knownIncarnation,
      int knownSequence,
      boolean knownLeaving,
      int incarnation,
      int sequence,
      boolean leaving,
      boolean newer) {
    EndpointTable table = new EndpointTable(1_000);
    EndpointTable remote = new EndpointTable(1_000);
    assertTrue(table.apply(endpoint(knownIncarnation, knownSequence, knownLeaving), 0));
    assertTrue(remote.apply(endpoint(incarnation, sequence, leaving), 0));
    assertEquals(remote.newerThan(table.digest(0), 0).size(), newer ? 1 : 0, "digest");
    assertEquals(table.apply(endpoint(incarnation, sequence, leaving), 0), newer);
    boolean live = newer ? !leaving : !knownLeaving;
    assertEquals(table.live("catalogue", 1).size(), live ? 1 : 0);
  }

  /** Guards against requests to endpoints that have expired or left. */
  @Test
  public void shouldRemoveEndpointsAfterTheirTtlAndTombstonesAfterTenMinutes() {
    EndpointTable table = new EndpointTable(1_000);
    table.apply(endpoint(1, 1, false), 0);
    assertEquals(table.live("catalogue", 999).size(), 1);
    assertEquals(table.live("catalogue", 1_000).size(), 0);
    assertEquals(table.removeExpired(1_000), 1);
    table.apply(endpoint(1, 2, true), 1_000);
    table.removeExpired(600_999);
    assertFalse(table.apply(endpoint(1, 1, false), 600_999), "tombstone");
    table.removeExpired(601_000);
    assertTrue(table.apply(endpoint(1, 1, false), 601_000));
  }

  private static Endpoint endpoint(int incarnation, int sequence, boolean leaving) {
    return Endpoint.newBuilder()
        .setService("catalogue")
        .setMinionId("m")
        .setIncarnation(incarnation)
        .setSequence(sequence)
        .setLeaving(leaving)
        .setTtlMillis(1_000)
        .build();
  }

  // -- IdempotencyKeys.check

  @DataProvider
  Object[][] keys() {
    long now = 1_800_000_000_000L;
    long day = IdempotencyKeys.MAX_AGE_MILLIS;
    return new Object[][] {
      {IdempotencyKeys.of(now, 5, 7), now, ""},
      {IdempotencyKeys.of(now - day, 5, 7), now, ""},
      {IdempotencyKeys.of(now - day - 1, 5, 7), now, "key-expired"},
      {IdempotencyKeys.of(now + 300_000, 5, 7), now, ""},
      {IdempotencyKeys.of(now + 300_001, 5, 7), now, "key-in-future"},
      {new UUID(0x4000L, 0x8000_0000_0000_0000L), now, "malformed-key"},
      {new UUID(0x7000L, 0), now, "malformed-key"},
    };
  }

  /** Guards against a request that runs twice because the record of its key was removed. */
  @Test(dataProvider = "keys")
  public void shouldAcceptOnlyKeysCreatedWithinTheLastDay(UUID key, long now, String code) {
    assertEquals(
        IdempotencyKeys.check(key.toString(), now).problem().map(Problem::code).orElse(""), code);
  }

  // -- CircuitBreaker

  /** Guards against requests to a dead minion, and against one that gets no requests again. */
  @Test
  public void shouldOpenAfterConsecutiveFailuresAndCloseAfterASuccessfulTrial() {
    CircuitBreaker breaker = new CircuitBreaker();
    for (int i = 1; i < CircuitBreaker.FAILURE_THRESHOLD; i++) {
      assertFalse(breaker.onFailure(0));
    }
    assertTrue(breaker.onFailure(0));
    assertFalse(breaker.permits(999));
    assertTrue(breaker.permits(1_000));
    breaker.onSend(1_000);
    assertFalse(breaker.permits(1_001), "only one trial in flight");
    breaker.onFailure(1_100);
    assertFalse(breaker.permits(3_099), "open time doubled");
    breaker.onSend(3_100);
    breaker.onSuccess();
    assertTrue(breaker.permits(3_101));
  }

  // -- RetryBudget

  /** Columns: requests in the window, allowed retries. */
  @DataProvider
  Object[][] retryLimits() {
    return new Object[][] {{0, 30}, {100, 30}, {1_000, 100}};
  }

  /** Guards against retries that multiply the load of failing minions. */
  @Test(dataProvider = "retryLimits")
  public void shouldAllowATenthOfTheRequestsAndAtLeastThreeRetriesPerSecond(
      int requests, int allowed) {
    RetryBudget budget = new RetryBudget();
    for (int i = 0; i < requests; i++) {
      budget.onRequest(50_000);
    }
    int acquired = 0;
    while (budget.tryAcquire(51_000)) {
      acquired++;
    }
    assertEquals(acquired, allowed);
    assertTrue(budget.tryAcquire(70_000), "a new window");
  }

  // -- MinionChooser.choose

  /** Guards against the choice of a distant minion while a nearer one has a free slot. */
  @Test
  public void shouldChooseTheLessLoadedOfTheNearestMinionsWithAFreeSlot() {
    Random random = new Random(7);
    List<MinionChooser.Candidate<String>> candidates =
        List.of(
            new MinionChooser.Candidate<>("near, full", 0, 2, 2),
            new MinionChooser.Candidate<>("region, busy", 1, 1, 2),
            new MinionChooser.Candidate<>("region, idle", 1, 0, 2),
            new MinionChooser.Candidate<>("far, idle", 2, 0, 2));
    for (int i = 0; i < 50; i++) {
      assertEquals(MinionChooser.choose(candidates, random), Optional.of("region, idle"));
    }
  }

  // -- BatchQueue

  /** Guards against two batches in flight, and against lost items when a batch is retried. */
  @Test
  public void shouldKeepOneBatchInFlightAndRetryItOnRequest() {
    BatchQueue<String> queue = new BatchQueue<>(2, 1_000);
    List.of("a", "b", "c").forEach(item -> queue.add(item, 1));
    assertEquals(queue.nextBatch(), List.of("a", "b"));
    assertEquals(queue.nextBatch(), List.of());
    queue.endBatch(true);
    assertEquals(queue.nextBatch(), List.of("a", "b"));
    queue.endBatch(false);
    assertEquals(queue.nextBatch(), List.of("c"));
  }
}
