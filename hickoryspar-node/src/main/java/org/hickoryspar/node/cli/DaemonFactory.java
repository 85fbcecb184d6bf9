package org.hickoryspar.node.cli;

import java.io.IOException;
import org.hickoryspar.node.settings.Settings;

/**
 * Starts daemons; registered in {@code META-INF/services}.
 *
 * <p>The command line depends on this interface only, so that reading the help or checking a file
 * loads no daemon class.
 */
public interface DaemonFactory {

  /**
   * Starts a daemon and returns once it accepts connections.
   *
   * @param kind {@code "entry"} or {@code "control"}
   * @param settings the settings of this instance
   * @param initialise true to create a new cluster on an empty data folder
   * @return the daemon, which stops gracefully when closed
   * @throws IOException if an address cannot be bound or a file cannot be read
   */
  AutoCloseable start(String kind, Settings settings, boolean initialise) throws IOException;
}
