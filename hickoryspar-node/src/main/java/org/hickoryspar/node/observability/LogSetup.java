package org.hickoryspar.node.observability;

import static java.util.Objects.requireNonNull;

import java.util.logging.ConsoleHandler;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;

/** Sets up the log of a daemon: JSON lines on standard error, from level INFO. */
public final class LogSetup {

  private LogSetup() {}

  /**
   * Replaces the handlers of the root logger.
   *
   * @param instanceId the instance that writes the log
   */
  public static void toStandardError(String instanceId) {
    requireNonNull(instanceId, "instanceId is null");
    Logger root = LogManager.getLogManager().getLogger("");
    for (Handler handler : root.getHandlers()) {
      root.removeHandler(handler);
    }
    Handler handler = new ConsoleHandler();
    handler.setLevel(Level.ALL);
    handler.setFormatter(new JsonLinesFormatter(instanceId));
    root.addHandler(handler);
    root.setLevel(Level.INFO);
  }
}
