package org.hickoryspar.bench.workflow;

import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/** Delivers messages after a delay, late, or not at all. */
final class SimulatedNetwork {

  private static final int MIN_DELAY_MILLIS = 1;
  private static final int DELAY_SPREAD_MILLIS = 10;
  private static final int LATE_MIN_MILLIS = 2_000;
  private static final int LATE_SPREAD_MILLIS = 10_000;

  private final Random random;
  private final PriorityQueue<ScheduledAction> messages =
      new PriorityQueue<>(
          (a, b) ->
              a.atMillis != b.atMillis
                  ? Long.compare(a.atMillis, b.atMillis)
                  : Long.compare(a.number, b.number));
  private final Map<SimulatedMinion, Long> cutUntilMillis = new HashMap<>();
  private long numbers;
  private double lateShare;
  private double lostAnswerShare;

  SimulatedNetwork(Random random) {
    this.random = random;
  }

  void setLateShare(double share) {
    lateShare = share;
  }

  void setLostAnswerShare(double share) {
    lostAnswerShare = share;
  }

  void cut(SimulatedMinion minion, long untilMillis) {
    cutUntilMillis.put(minion, untilMillis);
  }

  boolean isCut(SimulatedMinion minion, long nowMillis) {
    return cutUntilMillis.getOrDefault(minion, 0L) > nowMillis;
  }

  /** Returns whether an order gets no answer and is carried out late. */
  boolean isLate() {
    return random.nextDouble() < lateShare;
  }

  boolean losesAnswer() {
    return random.nextDouble() < lostAnswerShare;
  }

  long lateMillis() {
    return (long) LATE_MIN_MILLIS + random.nextInt(LATE_SPREAD_MILLIS);
  }

  long delayMillis() {
    return (long) MIN_DELAY_MILLIS + random.nextInt(DELAY_SPREAD_MILLIS);
  }

  void at(long atMillis, Runnable action) {
    messages.add(new ScheduledAction(atMillis, ++numbers, action));
  }

  void deliver(long nowMillis) {
    while (!messages.isEmpty() && messages.peek().atMillis <= nowMillis) {
      messages.remove().action.run();
    }
  }

  private record ScheduledAction(long atMillis, long number, Runnable action) {}
}
