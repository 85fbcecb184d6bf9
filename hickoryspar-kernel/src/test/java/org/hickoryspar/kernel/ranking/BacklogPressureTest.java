package org.hickoryspar.kernel.ranking;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.hickoryspar.kernel.ranking.BacklogItem.Chance;
import org.hickoryspar.kernel.value.Resources;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests when work counts as more than the room for it. */
public class BacklogPressureTest {

  private static final Resources CAPACITY = new Resources(100_000, 100_000, 10);
  private static final long NOW_MILLIS = 1_000_000;

  private static BacklogItem item(int accelerators, long runMillis, long latestStartInMillis) {
    return item(1, accelerators, runMillis, latestStartInMillis);
  }

  private static BacklogItem item(
      int priority, int accelerators, long runMillis, long latestStartInMillis) {
    return new BacklogItem(
        "item",
        "team",
        priority,
        Chance.IN_TIME,
        false,
        new Resources(0, 0, accelerators),
        runMillis,
        NOW_MILLIS,
        NOW_MILLIS + latestStartInMillis);
  }

  @DataProvider
  Object[][] backlogs() {
    RunningWork running = new RunningWork(new Resources(0, 0, 5), false, 2_000);
    RunningWork low = new RunningWork(new Resources(0, 0, 10), true, 60_000);
    return new Object[][] {
      {"nothing waits", List.of(running), List.of(), 0},
      // 10 accelerators of 10 for 2 s, due in 4 s.
      {"half of the room", List.of(), List.of(item(10, 2_000, 2_000)), 50},
      // The running work takes 5 * 2 s as well: 30 of 40 accelerator-seconds.
      {"beside running work", List.of(running), List.of(item(10, 2_000, 2_000)), 75},
      {"late by its run time", List.of(), List.of(item(10, 4_000, -2_000)), 100},
      {"too wide for one after the other", List.of(), List.of(item(30, 2_000, 2_000)), 150},
      // Each of the due times counts; the later work needs 150 of 200 accelerator-seconds.
      {"urgent part", List.of(), List.of(item(20, 1_000, 0), item(13, 10_000, 10_000)), 200},
      // What may preempt does not wait for work of a lower priority, which other work does.
      {"preempting work", List.of(low), List.of(item(0, 10, 2_000, 2_000)), 50},
      {"work that waits for low work", List.of(low), List.of(item(10, 2_000, 2_000)), 150},
      {"work long overdue", List.of(), List.of(item(5, 60_000, -600_000)), 50},
    };
  }

  /** Guards against an overload that is not noticed, and against one that is none. */
  @Test(dataProvider = "backlogs")
  void shouldMeasurePressure(
      String name, List<RunningWork> running, List<BacklogItem> waiting, int expectedPercent) {
    assertEquals(
        BacklogPressure.percent(CAPACITY, running, waiting, NOW_MILLIS), expectedPercent, name);
  }

  /** Guards against an order of the input that changes the result. */
  @Test
  void shouldNotDependOnOrder() {
    List<BacklogItem> waiting =
        new ArrayList<>(
            List.of(item(20, 1_000, 500), item(13, 10_000, 10_000), item(9, 3_000, 1_000)));
    int percent = BacklogPressure.percent(CAPACITY, List.of(), waiting, NOW_MILLIS);

    Collections.reverse(waiting);

    assertEquals(BacklogPressure.percent(CAPACITY, List.of(), waiting, NOW_MILLIS), percent);
  }
}
