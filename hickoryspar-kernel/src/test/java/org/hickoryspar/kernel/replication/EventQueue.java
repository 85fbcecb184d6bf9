package org.hickoryspar.kernel.replication;

import java.util.PriorityQueue;
import org.jspecify.annotations.Nullable;

/** The simulated time, and the actions to come in the order of their times. */
final class EventQueue {

  static final long NANOS_PER_MILLI = 1_000_000;

  /** In place of the generation of a process, for an action that any process of a replica runs. */
  private static final long ANY_PROCESS = -1;

  private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>();
  private long nowNanos;
  private long lastSequence;

  long nowNanos() {
    return nowNanos;
  }

  /** Schedules an action of the simulation itself. */
  void schedule(long delayNanos, Runnable action) {
    add(delayNanos, null, ANY_PROCESS, action);
  }

  /** Schedules an action of a replica that is dropped if its process has ended by then. */
  void scheduleInProcess(SimulatedReplica replica, long delayNanos, Runnable action) {
    add(delayNanos, replica, replica.processGeneration, action);
  }

  /** Schedules an action that waits while a replica is paused, whichever process it has then. */
  void scheduleAt(SimulatedReplica replica, long delayNanos, Runnable action) {
    add(delayNanos, replica, ANY_PROCESS, action);
  }

  private void add(
      long delayNanos, @Nullable SimulatedReplica replica, long generation, Runnable action) {
    events.add(
        new ScheduledEvent(nowNanos + delayNanos, ++lastSequence, replica, generation, action));
  }

  /** Advances the time to the next action and runs it, or returns false if it is after an end. */
  boolean runNext(long endNanos) {
    ScheduledEvent next = events.peek();
    if (next == null || next.atNanos > endNanos) {
      nowNanos = Math.max(nowNanos, endNanos);
      return false;
    }
    events.remove();
    nowNanos = Math.max(nowNanos, next.atNanos);
    SimulatedReplica replica = next.replica;
    if (replica != null && replica.isPaused()) {
      add(replica.pausedUntilNanos - nowNanos, replica, next.processGeneration, next.action);
    } else if (replica == null
        || next.processGeneration == ANY_PROCESS
        || next.processGeneration == replica.processGeneration) {
      next.action.run();
    }
    return true;
  }

  private record ScheduledEvent(
      long atNanos,
      long sequence,
      @Nullable SimulatedReplica replica,
      long processGeneration,
      Runnable action)
      implements Comparable<ScheduledEvent> {

    @Override
    public int compareTo(ScheduledEvent other) {
      int byTime = Long.compare(atNanos, other.atNanos);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }
}
