package org.hickoryspar.node.observability;

import static org.testng.Assert.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.testng.annotations.Test;

/** Tests that the log loses no lines on an output that takes a limited number of bytes at once. */
public class AsyncLogHandlerTest {

  private static final int LINES = 200;
  private static final String PADDING = "x".repeat(200);

  private final LogRateLimiter rateLimiter = new LogRateLimiter(1_000, () -> 0);

  /** Guards against lines that are lost because a batch exceeds what one write takes. */
  @Test
  void shouldWriteAllLinesWhenOutputTakesLimitedWrites() {
    LimitedOutput output = new LimitedOutput(8_192);

    logLines(output);

    assertEquals(output.lines(), LINES);
  }

  /** Guards against lines that are lost by a failed write and not counted. */
  @Test
  void shouldCountLinesOfFailedWrite() {
    LimitedOutput output = new LimitedOutput(8_192);
    output.failures = 1;

    logLines(output);

    assertEquals(output.lines() + rateLimiter.getAndResetDropped(), LINES);
  }

  // The records are queued before the thread starts, so that they form one batch.
  private void logLines(OutputStream output) {
    AsyncLogHandler handler = new AsyncLogHandler(output, rateLimiter);
    handler.setFormatter(new LineFormatter());
    for (int i = 0; i < LINES; i++) {
      handler.publish(new LogRecord(Level.INFO, PADDING));
    }
    handler.start();
    handler.close();
  }

  private static final class LineFormatter extends Formatter {

    @Override
    public String format(LogRecord logRecord) {
      return logRecord.getMessage() + '\n';
    }
  }

  /** Ignores what exceeds the limit of one write, as a full pipe may do. */
  private static final class LimitedOutput extends OutputStream {

    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private final int maxWriteBytes;
    private int failures;

    LimitedOutput(int maxWriteBytes) {
      this.maxWriteBytes = maxWriteBytes;
    }

    @Override
    public void write(int value) {
      received.write(value);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) throws IOException {
      if (failures > 0) {
        failures--;
        throw new IOException("the pipe is full");
      }
      received.write(bytes, offset, Math.min(length, maxWriteBytes));
    }

    long lines() {
      return received.toString(StandardCharsets.UTF_8).chars().filter(c -> c == '\n').count();
    }
  }
}
