package org.hickoryspar.node.observability;

import static java.util.Objects.requireNonNull;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/** Sets up the log of a daemon: JSON lines, from level INFO, and from WARNING for Jetty. */
public final class LogSetup {

  private static final Logger ROOT = LogManager.getLogManager().getLogger("");

  /** Limited to warnings: what Jetty logs at level INFO is covered by numbered events. */
  private static final Logger JETTY = Logger.getLogger("org.eclipse.jetty");

  private LogSetup() {}

  /**
   * Writes the log to standard error, each line at once.
   *
   * @param instanceId the instance that writes the log
   */
  public static void toStandardError(String instanceId) {
    replaceHandlers(new ConsoleHandler(), instanceId);
  }

  /**
   * Writes the log to standard output on a thread of its own. Lines beyond the budget of an event,
   * or that the output is too slow for, are left out and counted.
   *
   * @param instanceId the instance that writes the log
   * @return ends the writer after the lines that wait
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
