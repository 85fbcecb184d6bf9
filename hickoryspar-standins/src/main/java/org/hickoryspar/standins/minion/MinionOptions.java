package org.hickoryspar.standins.minion;

import java.util.List;

/**
 * How a stand-in minion runs.
 *
 * @param id identifier of the minion
 * @param service the service that it serves
 * @param dataCentre the data centre that it announces
 * @param host IP address on which it listens
 * @param port port on which it listens, 0 for a free one
 * @param entries addresses of entries, IP:PORT; none to announce nothing
 * @param token bearer token for announcements
 * @param incarnation incarnation that it announces
 * @param ttlMillis life of an announcement
 */
public record MinionOptions(
    String id,
    String service,
    String dataCentre,
    String host,
    int port,
    List<String> entries,
    String token,
    long incarnation,
    int ttlMillis) {

  /** Copies the list. */
  public MinionOptions {
    entries = List.copyOf(entries);
  }

  int slots() {
    return 8;
  }

  int connections() {
    return 60;
  }
}
