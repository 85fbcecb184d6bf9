package org.hickoryspar.standins.minion;

import java.util.List;

/**
 * Options of a stub minion.
 *
 * @param id identifier of the minion
 * @param service service that it serves
 * @param dataCentre data centre that it announces
 * @param host IP address to listen on
 * @param port port to listen on, 0 for a free port
 * @param entries addresses of the entries as IP:PORT; if empty, nothing is announced
 * @param token bearer token for announcements
 * @param incarnation incarnation that it announces, higher after each restart
 * @param ttlMillis lifetime of an announcement
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

  /**
   * Copies the list of entries.
   *
   * @throws NullPointerException if {@code entries} is null or contains null
   */
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
