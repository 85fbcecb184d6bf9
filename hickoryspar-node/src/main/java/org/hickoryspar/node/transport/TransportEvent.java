package org.hickoryspar.node.transport;

import java.util.logging.Level;
import org.hickoryspar.node.observability.LogEvent;

/** Log events of the connections between the processes of a cluster. */
enum TransportEvent implements LogEvent {
  LISTENING(1001, Level.INFO, "listening for peers on %s"),
  CONNECTED(1002, Level.INFO, "connected to %s at %s"),
  DISCONNECTED(1003, Level.INFO, "connection to %s closed: %s"),
  FRAME_REFUSED(1004, Level.WARNING, "closing connection from %s: %s"),
  VERSION_REFUSED(
      1005, Level.WARNING, "refused peer %s: protocol version %d, supported version %d"),
  CLUSTER_REFUSED(1006, Level.WARNING, "refused peer %s: cluster \"%s\", own cluster \"%s\""),
  HELLO_REFUSED(1007, Level.WARNING, "peer %s refused the connection of this process: %s"),
  HANDLER_FAILED(1008, Level.SEVERE, "handling a message from %s failed");

  private final int number;
  private final Level level;
  private final String template;

  TransportEvent(int number, Level level, String template) {
    this.number = number;
    this.level = level;
    this.template = template;
  }

  @Override
  public int number() {
    return number;
  }

  @Override
  public Level level() {
    return level;
  }

  @Override
  public String template() {
    return template;
  }
}
