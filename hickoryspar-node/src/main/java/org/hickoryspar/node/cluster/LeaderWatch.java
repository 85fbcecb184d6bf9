package org.hickoryspar.node.cluster;

import static java.util.Objects.requireNonNull;

import org.hickoryspar.kernel.membership.ClusterView;

/**
 * Reports that no leader is known for some time: nothing is served until there is one. Not
 * thread-safe.
 */
final class LeaderWatch {

  /** Twice the time that an election takes. */
  private static final long REPORT_AFTER_MILLIS = 2_000;

  private static final long REPORT_INTERVAL_MILLIS = 5_000;

  private final Listener listener;
  private boolean leaderKnown = true;
  private long unknownSinceMillis;
  private long nextReportMillis;

  LeaderWatch(Listener listener) {
    this.listener = requireNonNull(listener, "listener is null");
  }

  /**
   * Updates the state, and reports if it is time.
   *
   * @param view what this replica knows of the cluster
   * @param isLeaderKnown whether it knows a leader
   * @param nowMillis current monotonic time
   */
  void update(ClusterView view, boolean isLeaderKnown, long nowMillis) {
    if (leaderKnown && !isLeaderKnown) {
      unknownSinceMillis = nowMillis;
      nextReportMillis = nowMillis + REPORT_AFTER_MILLIS;
    }
    leaderKnown = isLeaderKnown;
    if (!leaderKnown && nowMillis >= nextReportMillis) {
      nextReportMillis = nowMillis + REPORT_INTERVAL_MILLIS;
      listener.onNoLeader(view, nowMillis - unknownSinceMillis);
    }
  }

  /** Receives the reports. */
  @FunctionalInterface
  interface Listener {

    /**
     * Handles a report.
     *
     * @param view what this replica knows of the cluster
     * @param sinceMillis time since which no leader is known
     */
    void onNoLeader(ClusterView view, long sinceMillis);
  }
}
