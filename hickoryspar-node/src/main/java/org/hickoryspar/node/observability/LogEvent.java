package org.hickoryspar.node.observability;

import java.util.logging.Level;

/**
 * A numbered log event; each package that logs has its own enum that implements this interface.
 *
 * <p>Numbers: 1000 to 1999 transport, 2000 to 2999 storage and replication, 3000 to 3999 control,
 * 4000 to 4999 entry, 5000 to 5999 workflows and minions, 6000 to 6999 settings and command line,
 * 7000 to 7999 stand-ins, 8000 to 8999 adapters. {@code docs/events.md} lists all of them.
 */
public interface LogEvent {

  /**
   * Returns the number of the event, unique in the project.
   *
   * @return the number
   */
  int number();

  /**
   * Returns the level at which the event is logged.
   *
   * @return the level
   */
  Level level();

  /**
   * Returns the message as a format string of {@link String#format}.
   *
   * @return the format string
   */
  String template();
}
