package org.hickoryspar.node.dispatch;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.hickoryspar.protocol.Envelope;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.MinionReport;
import org.hickoryspar.protocol.MinionReports;

/**
 * Stores the latest report of each minion on a control daemon and forwards changes to the leader. A
 * report is acknowledged once the leader has received its changes. Thread-safe.
 */
public final class MinionRegistry {

  /** Less than the 1 s after which a minion gives up and tries the next control daemon. */
  private static final long FORWARD_TIMEOUT_MILLIS = 800;

  private static final long RETENTION_MILLIS = 15_000;

  private final LeaderClient leaderClient;
  private final LongSupplier monotonicMillis;

  /** Age assigned to restored reports, which were received before this process started. */
  private static final long RESTORED_AGE_MILLIS = 60_000;

  private final Map<String, Registration> byId = new ConcurrentHashMap<>();
  private final AtomicBoolean changedSinceSnapshot = new AtomicBoolean();

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
    Registration registration = new Registration(report, monotonicMillis.getAsLong());
    Registration previous = byId.get(report.getLife().getMinionId());
    if (previous != null && previous.isNewerThan(report)) {
      return CompletableFuture.completedFuture(true);
    }
    byId.put(report.getLife().getMinionId(), registration);
    if (previous == null || !isEquivalent(previous.report, report)) {
      changedSinceSnapshot.set(true);
    }
    if (previous != null && previous.isAcknowledged && isEquivalent(previous.report, report)) {
      registration.isAcknowledged = true;
      return CompletableFuture.completedFuture(true);
    }
    return forward(List.of(registration));
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
    Registration previous = byId.remove(minionId);
    changedSinceSnapshot.set(true);
    MinionLife life =
        previous == null
            ? MinionLife.newBuilder().setMinionId(minionId).build()
            : previous.report.getLife();
    MinionReport leaving = MinionReport.newBuilder().setLife(life).setLeaving(true).build();
    return forward(List.of(new Registration(leaving, monotonicMillis.getAsLong())));
  }

  /** Forwards all reports to a new leader, except those of minions that have long been silent. */
  public void handleLeaderChange() {
    long nowMillis = monotonicMillis.getAsLong();
    byId.values()
        .removeIf(
            registration ->
                nowMillis - registration.receivedMillis > RETENTION_MILLIS + RESTORED_AGE_MILLIS);
    List<Registration> registrations = new ArrayList<>(byId.values());
    registrations.forEach(registration -> registration.isAcknowledged = false);
    if (!registrations.isEmpty()) {
      forward(registrations);
    }
  }

  /**
   * Returns the stored reports, for a leader in this process.
   *
   * @return the latest report of each minion, with its age
   */
  public List<MinionReport> reports() {
    long nowMillis = monotonicMillis.getAsLong();
    return byId.values().stream().map(registration -> registration.withAge(nowMillis)).toList();
  }

  /**
   * Adds reports that an earlier process of this instance saved. They provide the addresses of
   * minions; their age shows the leader that they do not describe the current state.
   *
   * @param reports reports that {@link #snapshotIfChanged} returned
   */
  public void restore(MinionReports reports) {
    requireNonNull(reports, "reports is null");
    long receivedMillis = monotonicMillis.getAsLong() - RESTORED_AGE_MILLIS;
    for (MinionReport report : reports.getReportsList()) {
      byId.putIfAbsent(report.getLife().getMinionId(), new Registration(report, receivedMillis));
    }
  }

  /**
   * Returns the reports to save for a restart, if they have changed since the last call.
   *
   * @return the reports without their times, or empty if they are unchanged
   */
  public Optional<MinionReports> snapshotIfChanged() {
    if (!changedSinceSnapshot.getAndSet(false)) {
      return Optional.empty();
    }
    MinionReports.Builder reports = MinionReports.newBuilder();
    byId.values()
        .forEach(registration -> reports.addReports(withoutVolatileFields(registration.report)));
    return Optional.of(reports.build());
  }

  private static MinionReport withoutVolatileFields(MinionReport report) {
    return report.toBuilder().clearSequence().clearClockMillis().clearAgeMillis().build();
  }

  private CompletableFuture<Boolean> forward(List<Registration> registrations) {
    long nowMillis = monotonicMillis.getAsLong();
    MinionReports.Builder reports = MinionReports.newBuilder();
    registrations.forEach(registration -> reports.addReports(registration.withAge(nowMillis)));
    return leaderClient
        .call(Envelope.newBuilder().setMinionReports(reports), FORWARD_TIMEOUT_MILLIS)
        .thenApply(
            result -> {
              if (result.isSuccess()) {
                registrations.forEach(registration -> registration.isAcknowledged = true);
              }
              return result.isSuccess();
            });
  }

  private static boolean isEquivalent(MinionReport before, MinionReport after) {
    return normalize(before).equals(normalize(after));
  }

  // Clears the fields that differ in each report and that the leader does not need.
  private static MinionReport normalize(MinionReport report) {
    return report.toBuilder()
        .clearSequence()
        .clearClockMillis()
        .clearAgeMillis()
        .clearDrainRemainingMillis()
        .setColdRemainingMillis(report.getColdRemainingMillis() > 0 ? 1 : 0)
        .build();
  }

  private static final class Registration {

    private final MinionReport report;
    private final long receivedMillis;
    private volatile boolean isAcknowledged;

    Registration(MinionReport report, long receivedMillis) {
      this.report = report;
      this.receivedMillis = receivedMillis;
    }

    boolean isNewerThan(MinionReport other) {
      long bornMillis = report.getLife().getBornMillis();
      long otherBornMillis = other.getLife().getBornMillis();
      return bornMillis > otherBornMillis
          || (bornMillis == otherBornMillis && report.getSequence() >= other.getSequence());
    }

    MinionReport withAge(long nowMillis) {
      return report.toBuilder().setAgeMillis(nowMillis - receivedMillis).build();
    }
  }
}
