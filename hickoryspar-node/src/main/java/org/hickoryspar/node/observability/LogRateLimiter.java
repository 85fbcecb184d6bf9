package org.hickoryspar.node.observability;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** Limits the lines of each event per second and counts the dropped ones. Thread-safe. */
public final class LogRateLimiter {

  private static final long MILLIS_PER_SECOND = 1_000;

  private final int maxLinesPerSecond;
  private final LongSupplier monotonicMillis;
  private final Map<Integer, Window> windows = new ConcurrentHashMap<>();
  private final AtomicLong dropped = new AtomicLong();

  /**
   * Creates a rate limiter.
   *
   * @param maxLinesPerSecond limit for each event
   * @param monotonicMillis a monotonic clock in milliseconds
   */
  public LogRateLimiter(int maxLinesPerSecond, LongSupplier monotonicMillis) {
    this.maxLinesPerSecond = maxLinesPerSecond;
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
  }

  /**
   * Acquires the permit for one line of an event; without a permit, the line counts as dropped.
   *
   * @param eventNumber number of the event
   * @return false if the limit for the current second is exhausted
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

  /** Counts lines that were dropped for another reason. */
  void recordDropped(int lines) {
    dropped.addAndGet(lines);
  }

  /** Returns the number of lines that were dropped since the last call. */
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
