package org.hickoryspar.kernel.dispatch;

import java.util.HashMap;
import java.util.Map;
import org.hickoryspar.protocol.MinionReport;

/**
 * Logs the reports that name a service of no catalog. They are from another writer, or from minions
 * of a service that a later catalog adds.
 */
final class IgnoredReports {

  /** Interval at which reports under the same identifier are logged again. */
  private static final long LOG_INTERVAL_MILLIS = 15_000;

  /** Maximum number of identifiers in an interval; reports under further ones are not logged. */
  private static final int MAX_LOGGED_IDS = 1_000;

  private final Map<String, Long> loggedMillisById = new HashMap<>();
  private final DispatchListener listener;

  IgnoredReports(DispatchListener listener) {
    this.listener = listener;
  }

  void add(MinionReport report, long nowMillis) {
    String minionId = report.getLife().getMinionId();
    if (loggedMillisById.containsKey(minionId) || loggedMillisById.size() >= MAX_LOGGED_IDS) {
      return;
    }
    loggedMillisById.put(minionId, nowMillis);
    listener.onEvent(
        DispatchEventKind.REPORT_IGNORED,
        minionId,
        "service",
        report.getService(),
        "address",
        report.getAddress(),
        "bornMillis",
        report.getLife().getBornMillis());
  }

  /** Forgets the identifiers whose reports may be logged again. */
  void sweep(long nowMillis) {
    loggedMillisById
        .values()
        .removeIf(loggedMillis -> nowMillis - loggedMillis > LOG_INTERVAL_MILLIS);
  }
}
