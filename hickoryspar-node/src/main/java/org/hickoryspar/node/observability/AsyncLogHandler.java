package org.hickoryspar.node.observability;

import static java.util.Objects.requireNonNull;

import java.io.ByteArrayOutputStream;
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
 * Writes log records on a separate thread, so that callers never block on the output. Records that
 * do not fit into the queue are dropped and counted.
 */
final class AsyncLogHandler extends Handler {

  private static final int MAX_QUEUED_RECORDS = 4_096;
  private static final int MAX_BATCH_RECORDS = 256;

  /** A longer write may be carried out in part, and a failure would lose all of its lines. */
  private static final int MAX_WRITE_BYTES = 8_192;

  private static final long POLL_MILLIS = 1_000;
  private static final long CLOSE_TIMEOUT_MILLIS = 500;

  private final ArrayBlockingQueue<LogRecord> queue = new ArrayBlockingQueue<>(MAX_QUEUED_RECORDS);
  private final OutputStream out;
  private final LogRateLimiter rateLimiter;
  private final Thread writer = new Thread(this::run, "log");
  private volatile boolean closed;

  AsyncLogHandler(OutputStream out, LogRateLimiter rateLimiter) {
    this.out = requireNonNull(out, "out is null");
    this.rateLimiter = requireNonNull(rateLimiter, "rateLimiter is null");
    writer.setDaemon(true);
  }

  void start() {
    writer.start();
  }

  @Override
  public void publish(LogRecord logRecord) {
    if (isLoggable(logRecord) && !queue.offer(logRecord)) {
      rateLimiter.recordDropped(1);
    }
  }

  private void run() {
    List<LogRecord> batch = new ArrayList<>();
    while (!closed || !queue.isEmpty()) {
      try {
        LogRecord first = queue.poll(closed ? 0 : POLL_MILLIS, TimeUnit.MILLISECONDS);
        if (first != null) {
          batch.add(first);
          queue.drainTo(batch, MAX_BATCH_RECORDS);
        }
        reportDropped(batch);
        write(batch);
        batch.clear();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private void reportDropped(List<LogRecord> batch) {
    long dropped = rateLimiter.getAndResetDropped();
    if (dropped > 0) {
      batch.add(
          new LogRecord(
              Level.WARNING, EventLogger.formatMessage(ObservabilityEvent.LINES_DROPPED, dropped)));
    }
  }

  private void write(List<LogRecord> batch) {
    ByteArrayOutputStream lines = new ByteArrayOutputStream();
    int lineCount = 0;
    for (LogRecord logRecord : batch) {
      byte[] line = getFormatter().format(logRecord).getBytes(StandardCharsets.UTF_8);
      if (lineCount > 0 && lines.size() + line.length > MAX_WRITE_BYTES) {
        writeLines(lines, lineCount);
        lineCount = 0;
      }
      lines.writeBytes(line);
      lineCount++;
    }
    if (lineCount > 0) {
      writeLines(lines, lineCount);
    }
  }

  private void writeLines(ByteArrayOutputStream lines, int lineCount) {
    try {
      lines.writeTo(out);
      out.flush();
    } catch (IOException e) {
      // The count is logged once the output works again.
      rateLimiter.recordDropped(lineCount);
    }
    lines.reset();
  }

  @Override
  public void flush() {
    // The writer flushes after each batch.
  }

  @Override
  public void close() {
    closed = true;
    try {
      writer.join(CLOSE_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
