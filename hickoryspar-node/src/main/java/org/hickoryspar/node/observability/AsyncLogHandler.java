package org.hickoryspar.node.observability;

import static java.util.Objects.requireNonNull;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Writes log records on a thread of its own. A record is left out and counted when too many wait,
 * so that no caller ever waits for the output.
 */
final class AsyncLogHandler extends Handler {

  private static final int MAX_WAITING = 4_096;
  private static final int MAX_BATCH = 256;
  private static final long POLL_MILLIS = 1_000;
  private static final long CLOSE_LIMIT_MILLIS = 500;

  private final ArrayBlockingQueue<LogRecord> waiting = new ArrayBlockingQueue<>(MAX_WAITING);
  private final OutputStream out;
  private final LogBudget budget;
  private final Thread writer = new Thread(this::run, "log");
  private volatile boolean closed;

  AsyncLogHandler(OutputStream out, LogBudget budget) {
    this.out = requireNonNull(out, "out is null");
    this.budget = requireNonNull(budget, "budget is null");
    writer.setDaemon(true);
  }

  void start() {
    writer.start();
  }

  @Override
  public void publish(LogRecord logRecord) {
    if (isLoggable(logRecord) && !waiting.offer(logRecord)) {
      budget.drop();
    }
  }

  private void run() {
    List<LogRecord> batch = new ArrayList<>();
    while (!closed || !waiting.isEmpty()) {
      try {
        LogRecord first = waiting.poll(closed ? 0 : POLL_MILLIS, TimeUnit.MILLISECONDS);
        if (first != null) {
          batch.add(first);
          waiting.drainTo(batch, MAX_BATCH);
        }
        noteDropped(batch);
        write(batch);
        batch.clear();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      } catch (IOException e) {
        // There is nowhere to report that the log cannot be written.
        batch.clear();
      }
    }
  }

  private void noteDropped(List<LogRecord> batch) {
    long dropped = budget.takeDropped();
    if (dropped > 0) {
      batch.add(
          new LogRecord(
              Level.WARNING, EventLogger.text(ObservabilityEvent.LINES_DROPPED, dropped)));
    }
  }

  private void write(List<LogRecord> batch) throws IOException {
    if (batch.isEmpty()) {
      return;
    }
    StringBuilder text = new StringBuilder();
    for (LogRecord logRecord : batch) {
      text.append(getFormatter().format(logRecord));
    }
    out.write(text.toString().getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  @Override
  public void flush() {
    // The writer flushes after each batch.
  }

  @Override
  public void close() {
    closed = true;
    try {
      writer.join(CLOSE_LIMIT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
