package org.hickoryspar.node.observability;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** Bounds the lines of each event per second and counts the ones that are left out. Thread-safe. */
public final class LogRateLimiter {

  private static final long MILLIS_PER_SECOND = 1_000;

  private final int maxLinesPerSecond;
  private final LongSupplier monotonicMillis;
  private final Map<Integer, Window> windows = new ConcurrentHashMap<>();
  private final AtomicLong dropped = new AtomicLong();

  /**
   * Creates a budget.
   *
   * @param maxLinesPerSecond lines of one event in one second
   * @param monotonicMillis a clock that never goes back
   */
  public LogRateLimiter(int maxLinesPerSecond, LongSupplier monotonicMillis) {
    this.maxLinesPerSecond = maxLinesPerSecond;
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
  }

  /**
   * Takes one line of an event out of the budget.
   *
   * @param eventNumber number of the event
   * @return false if the budget of this second is used up
   */
  public boolean tryAcquire(int eventNumber) {
    long second = monotonicMillis.getAsLong() / MILLIS_PER_SECOND;
    boolean acquired =
        windows
            .computeIfAbsent(eventNumber, number -> new Window())
            .tryAcquire(second, maxLinesPerSecond);
    if (!acquired) {
      dropped.incrementAndGet();
    }
    return acquired;
  }

  /** Counts a line that was left out for another reason. */
  void recordDropped() {
    dropped.incrementAndGet();
  }

  /**
   * Returns the number of lines that were left out since the last call.
   *
   * @return the number
   */
  long getAndResetDropped() {
    return dropped.getAndSet(0);
  }

  private static final class Window {

    private long second;
    private int lines;

    synchronized boolean tryAcquire(long currentSecond, int maxLines) {
      if (currentSecond != second) {
        second = currentSecond;
        lines = 0;
      }
      lines++;
      return lines <= maxLines;
    }
  }
}
