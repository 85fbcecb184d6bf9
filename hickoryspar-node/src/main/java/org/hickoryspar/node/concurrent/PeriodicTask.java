package org.hickoryspar.node.concurrent;

import static java.util.Objects.requireNonNull;

import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.hickoryspar.node.observability.EventLogger;

/**
 * Repeats a task on a daemon thread of its own, with a fixed pause between two runs. A run that
 * fails is logged and does not end the repetition. Thread-safe.
 *
 * <pre>{@code
 * PeriodicTask writer = new PeriodicTask("writer", 1_000, store::write);
 * writer.start();
 * }</pre>
 */
public final class PeriodicTask implements AutoCloseable {

  private final String name;
  private final long intervalMillis;
  private final Runnable task;
  private final ScheduledExecutorService executor;

  /**
   * Creates a task that is not started.
   *
   * @param name name of the thread, and of the task in the log
   * @param intervalMillis pause before the first run and between two runs
   * @param task the task
   */
  public PeriodicTask(String name, long intervalMillis, Runnable task) {
    this.name = requireNonNull(name, "name is null");
    this.intervalMillis = intervalMillis;
    this.task = requireNonNull(task, "task is null");
    this.executor =
        Executors.newSingleThreadScheduledExecutor(
            runnable -> {
              Thread thread = new Thread(runnable, name);
              thread.setDaemon(true);
              return thread;
            });
  }

  /** Starts the repetition. */
  public void start() {
    var unused =
        executor.scheduleWithFixedDelay(
            this::run, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
  }

  /** Runs the task once more as soon as its thread is idle; ignored after {@link #close}. */
  public void runNow() {
    try {
      executor.execute(this::run);
    } catch (RejectedExecutionException e) {
      // The task is closed.
    }
  }

  // The executor would not repeat a task that throws.
  private void run() {
    try {
      task.run();
    } catch (RuntimeException | Error e) {
      EventLogger.log(ConcurrentEvent.PERIODIC_TASK_FAILED, e, name);
    }
  }

  /** Ends the repetition; interrupts a run in progress. */
  @Override
  public void close() {
    executor.shutdownNow();
  }
}
