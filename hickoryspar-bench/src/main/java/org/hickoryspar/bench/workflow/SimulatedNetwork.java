package org.hickoryspar.bench.workflow;

import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Schedules actions in virtual time, draws latencies and losses of messages, and keeps track of
 * partitioned minions.
 */
final class SimulatedNetwork {

  private static final int MIN_LATENCY_MILLIS = 1;
  private static final int LATENCY_SPREAD_MILLIS = 10;
  private static final int MIN_ORDER_DELAY_MILLIS = 2_000;
  private static final int ORDER_DELAY_SPREAD_MILLIS = 10_000;

  private final Random random;
  private final PriorityQueue<ScheduledAction> scheduledActions =
      new PriorityQueue<>(
          (a, b) ->
              a.atMillis != b.atMillis
                  ? Long.compare(a.atMillis, b.atMillis)
                  : Long.compare(a.sequence, b.sequence));
  private final Map<SimulatedMinion, Long> partitionEndMillis = new HashMap<>();
  private long lastSequence;
  private double delayedOrderShare;
  private double lostResponseShare;

  SimulatedNetwork(Random random) {
    this.random = random;
  }

  void setDelayedOrderShare(double share) {
    delayedOrderShare = share;
  }

  void setLostResponseShare(double share) {
    lostResponseShare = share;
  }

  void partition(SimulatedMinion minion, long untilMillis) {
    partitionEndMillis.put(minion, untilMillis);
  }

  boolean isPartitioned(SimulatedMinion minion, long nowMillis) {
    return partitionEndMillis.getOrDefault(minion, 0L) > nowMillis;
  }

  /** Draws whether an order gets no response and takes effect late. */
  boolean delaysOrder() {
    return random.nextDouble() < delayedOrderShare;
  }

  boolean losesResponse() {
    return random.nextDouble() < lostResponseShare;
  }

  long drawOrderDelayMillis() {
    return (long) MIN_ORDER_DELAY_MILLIS + random.nextInt(ORDER_DELAY_SPREAD_MILLIS);
  }

  long drawLatencyMillis() {
    return (long) MIN_LATENCY_MILLIS + random.nextInt(LATENCY_SPREAD_MILLIS);
  }

  void scheduleAt(long atMillis, Runnable action) {
    scheduledActions.add(new ScheduledAction(atMillis, ++lastSequence, action));
  }

  void runDueActions(long nowMillis) {
    while (!scheduledActions.isEmpty() && scheduledActions.peek().atMillis <= nowMillis) {
      scheduledActions.remove().action.run();
    }
  }

  private record ScheduledAction(long atMillis, long sequence, Runnable action) {}
}
