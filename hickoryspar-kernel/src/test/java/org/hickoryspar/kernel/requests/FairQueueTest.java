package org.hickoryspar.kernel.requests;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class FairQueueTest {

  @DataProvider
  Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}, {5L}, {8L}};
  }

  // -- poll

  /** Guards against lost, duplicated, expired or too many items under random sequences of calls. */
  @Test(dataProvider = "seeds")
  public void shouldReturnEachItemOnceAndStayWithinTheCapacity(long seed) {
    Random random = new Random(seed);
    FairQueue<Integer> queue = new FairQueue<>(20);
    List<Integer> offered = new ArrayList<>();
    List<Integer> removed = new ArrayList<>();
    for (int step = 0; step < 5_000; step++) {
      long now = step;
      String team = "t" + random.nextInt(4);
      if (random.nextInt(3) > 0) {
        if (queue.reserve(team)) {
          offered.add(step);
          queue.offer(
              new FairQueue.Item<>(team, random.nextBoolean(), now + random.nextInt(60), step));
        }
      } else {
        List<FairQueue.Item<Integer>> expired = new ArrayList<>(queue.removeExpired(now));
        Optional<FairQueue.Item<Integer>> next = queue.poll(now, expired);
        if (next.isPresent() && random.nextInt(4) == 0) {
          queue.requeue(next.get());
        } else {
          next.ifPresent(
              item -> {
                assertTrue(item.deadlineMillis() > now, "seed " + seed + ": expired item");
                removed.add(item.value());
              });
        }
        expired.forEach(item -> removed.add(item.value()));
      }
      assertTrue(
          queue.size() <= 20 && queue.size() == offered.size() - removed.size(), "seed " + seed);
    }
    queue.removeExpired(Long.MAX_VALUE).forEach(item -> removed.add(item.value()));
    removed.sort(null);
    assertEquals(removed, offered, "seed " + seed);
  }

  /** Guards against a team whose backlog delays the items of other teams. */
  @Test
  public void shouldServeUrgentItemsFirstAndTeamsInTurn() {
    FairQueue<String> queue = new FairQueue<>(100);
    for (int i = 0; i < 5; i++) {
      add(queue, "a", false, "a" + i);
    }
    add(queue, "b", false, "b0");
    add(queue, "c", true, "c0");
    List<String> order = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      order.add(queue.poll(0, new ArrayList<>()).orElseThrow().value());
    }
    assertEquals(order, List.of("c0", "a0", "b0", "a1"));
  }

  /** Guards against an item that cannot be served and delays others, or loses its place. */
  @Test
  public void shouldPassOverItemsThatCannotBeServedAndKeepTheirPlaces() {
    FairQueue<String> queue = new FairQueue<>(100);
    add(queue, "a", true, "held0");
    add(queue, "a", false, "held1");
    for (String value : List.of("a0", "a1")) {
      add(queue, "a", false, value);
    }
    for (String value : List.of("b0", "b1")) {
      add(queue, "b", false, value);
    }
    List<String> order = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      order.add(pollServable(queue).orElseThrow().value());
    }
    assertEquals(order, List.of("a0", "b0", "a1"));
    assertEquals(queue.size(), 3);
    assertEquals(queue.poll(0, new ArrayList<>()).orElseThrow().value(), "held0");
    assertEquals(pollServable(queue).orElseThrow().value(), "b1");
    assertEquals(pollServable(queue), Optional.empty());
    assertEquals(queue.poll(0, new ArrayList<>()).orElseThrow().value(), "held1");
    assertTrue(queue.isEmpty());
    assertEquals(queue.size(), 0);
  }

  private static Optional<FairQueue.Item<String>> pollServable(FairQueue<String> queue) {
    return queue.poll(0, new ArrayList<>(), value -> !value.startsWith("held"));
  }

  // -- reserve

  /** Guards against a team that fills the queue, so that items of other teams are rejected. */
  @Test
  public void shouldKeepCapacityForAnotherTeamWhenOneTeamReachesItsLimit() {
    FairQueue<String> queue = new FairQueue<>(10);
    int reserved = 0;
    while (queue.reserve("a")) {
      reserved++;
    }
    assertEquals(reserved, 5);
    assertTrue(queue.reserve("b"));
    assertFalse(queue.reserve("a"));
  }

  private static void add(FairQueue<String> queue, String team, boolean urgent, String value) {
    assertTrue(queue.reserve(team));
    queue.offer(new FairQueue.Item<>(team, urgent, 1_000, value));
  }
}
