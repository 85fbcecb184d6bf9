package org.hickoryspar.node.observability;

import static java.util.Objects.requireNonNull;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/** Bounds the lines of each event per second and counts the ones that are left out. Thread-safe. */
public final class LogBudget {

  private static final long MILLIS_PER_SECOND = 1_000;

  private final int linesPerSecond;
  private final LongSupplier monotonicMillis;
  private final Map<Integer, Window> windows = new ConcurrentHashMap<>();
  private final AtomicLong dropped = new AtomicLong();

  /**
   * Creates a budget.
   *
   * @param linesPerSecond lines of one event in one second
   * @param monotonicMillis a clock that never goes back
   */
  public LogBudget(int linesPerSecond, LongSupplier monotonicMillis) {
    this.linesPerSecond = linesPerSecond;
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
  }

  /**
   * Takes one line of an event out of the budget.
   *
   * @param event number of the event
   * @return false if the budget of this second is used up
   */
  public boolean admits(int event) {
    long second = monotonicMillis.getAsLong() / MILLIS_PER_SECOND;
    boolean admitted =
        windows.computeIfAbsent(event, number -> new Window()).take(second, linesPerSecond);
    if (!admitted) {
      dropped.incrementAndGet();
    }
    return admitted;
  }

  /** Counts a line that was left out for another reason. */
  void drop() {
    dropped.incrementAndGet();
  }

  /**
   * Returns the number of lines that were left out since the last call.
   *
   * @return the number
   */
  long takeDropped() {
    return dropped.getAndSet(0);
  }

  private static final class Window {

    private long second;
    private int lines;

    synchronized boolean take(long now, int limit) {
      if (now != second) {
        second = now;
        lines = 0;
      }
      lines++;
      return lines <= limit;
    }
  }
}
