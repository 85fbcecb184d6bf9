package org.hickoryspar.node.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.hickoryspar.kernel.reports.ReceivedReports;
import org.hickoryspar.node.observability.EventLogger;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.MinionReport;
import org.hickoryspar.protocol.MinionReports;
import org.hickoryspar.protocol.MinionReportsReply;

/**
 * Receives the reports of minions on a control daemon and forwards to the leader what it does not
 * hold. A report is acknowledged once the leader has received its changes. Thread-safe.
 */
public final class MinionRegistry {

  /** Interval at which the owner calls {@link #confirm}. */
  public static final long CONFIRM_INTERVAL_MILLIS = 2_000;

  /** Less than the 1 s after which a minion gives up and tries the next control daemon. */
  private static final long FORWARD_TIMEOUT_MILLIS = 800;

  private final LeaderClient leaderClient;
  private final LongSupplier monotonicMillis;
  private final ReceivedReports received = new ReceivedReports();

  /**
   * Creates an empty registry.
   *
   * @param leaderClient sends calls to the leader
   * @param monotonicMillis monotonic clock in milliseconds
   */
  public MinionRegistry(LeaderClient leaderClient, LongSupplier monotonicMillis) {
    this.leaderClient = requireNonNull(leaderClient, "leaderClient is null");
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
  }

  /**
   * Handles a report and forwards it if it contains changes.
   *
   * @param report the report
   * @return true if the leader has received the changes or the report is outdated; false if the
   *     leader did not respond in time
   */
  public CompletableFuture<Boolean> handleReport(MinionReport report) {
    requireNonNull(report, "report is null");
    Optional<MinionReports> message;
    synchronized (received) {
      message = received.add(report, monotonicMillis.getAsLong());
    }
    return message.map(this::forward).orElseGet(() -> CompletableFuture.completedFuture(true));
  }

  /**
   * Handles the announcement of a minion that its process is about to end. The life that it speaks
   * of is the one that has reported here last; it is unknown if none has.
   *
   * @param minionId identifier of the minion
   * @return true if the leader has received it; false if the leader did not respond in time
   */
  public CompletableFuture<Boolean> handleLeave(String minionId) {
    requireNonNull(minionId, "minionId is null");
    MinionReports message;
    synchronized (received) {
      message = received.remove(minionId);
    }
    return forward(message);
  }

  /** Forwards all reports to a new leader, except those of minions that have long been silent. */
  public void handleLeaderChange() {
    Optional<MinionReports> message;
    synchronized (received) {
      message = received.handleLeaderChange(monotonicMillis.getAsLong());
    }
    message.ifPresent(this::forward);
  }

  /** Asks the leader whether it still holds what it has confirmed; forwards what it does not. */
  public void confirm() {
    Optional<MinionReports> message;
    synchronized (received) {
      message = received.confirmationRequest(monotonicMillis.getAsLong());
    }
    message.ifPresent(this::forward);
  }

  /**
   * Returns the stored reports, for a leader in this process.
   *
   * @return the latest report of each minion, with its age
   */
  public List<MinionReport> reports() {
    synchronized (received) {
      return received.all(monotonicMillis.getAsLong());
    }
  }

  /**
   * Adds reports that an earlier process of this instance saved. They provide the addresses of
   * minions; their age shows the leader that they do not describe the current state.
   *
   * @param reports reports that {@link #snapshotIfChanged} returned
   */
  public void restore(MinionReports reports) {
    requireNonNull(reports, "reports is null");
    synchronized (received) {
      received.restore(reports, monotonicMillis.getAsLong());
    }
  }

  /**
   * Returns the reports to save for a restart, if they have changed since the last call.
   *
   * @return the reports without their times, or empty if they are unchanged
   */
  public Optional<MinionReports> snapshotIfChanged() {
    synchronized (received) {
      return received.snapshotIfChanged();
    }
  }

  private CompletableFuture<Boolean> forward(MinionReports message) {
    return leaderClient
        .call(Envelope.newBuilder().setMinionReports(message), FORWARD_TIMEOUT_MILLIS)
        .thenApply(
            result ->
                result.fold(
                    problem -> false,
                    response -> {
                      handleReply(message, response.getMinionReportsReply());
                      return true;
                    }));
  }

  private void handleReply(MinionReports message, MinionReportsReply reply) {
    Optional<MinionReports> forgotten;
    synchronized (received) {
      forgotten = received.handleReply(message, reply, monotonicMillis.getAsLong());
    }
    forgotten.ifPresent(
        reports -> {
          EventLogger.log(DispatchLogEvent.REPORTS_FORGOTTEN, reports.getReportsCount());
          forward(reports);
        });
  }
}
