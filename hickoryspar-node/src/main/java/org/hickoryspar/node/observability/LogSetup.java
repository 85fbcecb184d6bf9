package org.hickoryspar.node.observability;

import static java.util.Objects.requireNonNull;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/** Configures the log of a daemon: JSON lines from level INFO, for Jetty from WARNING. */
public final class LogSetup {

  private static final Logger ROOT = LogManager.getLogManager().getLogger("");

  /** Limited to warnings, because numbered events cover what Jetty logs at level INFO. */
  private static final Logger JETTY = Logger.getLogger("org.eclipse.jetty");

  private LogSetup() {}

  /**
   * Logs to standard error; the calling thread writes each line.
   *
   * @param instanceId identifier of the instance that writes the log
   */
  public static void toStandardError(String instanceId) {
    replaceHandlers(new ConsoleHandler(), instanceId);
  }

  /**
   * Logs to standard output on a separate thread. Lines above the rate limit of their event, and
   * lines for which the queue has no capacity, are dropped and counted.
   *
   * @param instanceId identifier of the instance that writes the log
   * @return a handle that writes the queued lines and ends the thread when closed
   */
  public static AutoCloseable toStandardOutput(String instanceId) {
    AsyncLogHandler handler =
        new AsyncLogHandler(new FileOutputStream(FileDescriptor.out), EventLogger.rateLimiter());
    replaceHandlers(handler, instanceId);
    handler.start();
    return handler::close;
  }

  private static void replaceHandlers(Handler handler, String instanceId) {
    requireNonNull(instanceId, "instanceId is null");
    for (Handler earlier : ROOT.getHandlers()) {
      ROOT.removeHandler(earlier);
    }
    handler.setLevel(Level.ALL);
    handler.setFormatter(new JsonLinesFormatter(instanceId));
    ROOT.addHandler(handler);
    ROOT.setLevel(Level.INFO);
    JETTY.setLevel(Level.WARNING);
  }
}
