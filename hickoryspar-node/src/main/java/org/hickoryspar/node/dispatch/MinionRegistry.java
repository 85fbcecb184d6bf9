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
 * On each control daemon, takes in what minions report of themselves and tells the leader. A report
 * is acknowledged once the leader knows what is new in it. Thread-safe.
 */
public final class MinionRegistry {

  /** A minion tries the next daemon after a second; what is answered later is of no use to it. */
  private static final long FORWARD_TIMEOUT_MILLIS = 800;

  private static final long RETENTION_MILLIS = 15_000;

  private final LeaderClient leaderClient;
  private final LongSupplier monotonicMillis;

  /** Age that a report from before the start of this process is given. */
  private static final long RESTORED_AGE_MILLIS = 60_000;

  private final Map<String, Registration> byId = new ConcurrentHashMap<>();
  private final AtomicBoolean changedSinceSnapshot = new AtomicBoolean();

  /**
   * Creates an empty registry.
   *
   * @param leaderClient sends calls to the leader
   * @param monotonicMillis a clock that never goes back
   */
  public MinionRegistry(LeaderClient leaderClient, LongSupplier monotonicMillis) {
    this.leaderClient = requireNonNull(leaderClient, "leaderClient is null");
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
  }

  /**
   * Takes in a report.
   *
   * @param report the report
   * @return whether the leader knows it; false if that is not known
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
   * Takes note that a minion ends now.
   *
   * @param minionId the minion
   * @return whether the leader knows it
   */
  public CompletableFuture<Boolean> handleLeave(String minionId) {
    requireNonNull(minionId, "minionId is null");
    byId.remove(minionId);
    changedSinceSnapshot.set(true);
    MinionReport leaving =
        MinionReport.newBuilder()
            .setLife(MinionLife.newBuilder().setMinionId(minionId))
            .setLeaving(true)
            .build();
    return forward(List.of(new Registration(leaving, monotonicMillis.getAsLong())));
  }

  /** Tells a new leader all that is known. */
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
   * Returns all that is known, for a leader in this process.
   *
   * @return the newest report of each minion
   */
  public List<MinionReport> reports() {
    long nowMillis = monotonicMillis.getAsLong();
    return byId.values().stream().map(registration -> registration.withAge(nowMillis)).toList();
  }

  /**
   * Takes in what a process of this instance knew before it ended. Such a report tells where a
   * minion can be asked; it is not taken for its state.
   *
   * @param reports what {@link #snapshotIfChanged} returned
   */
  public void restore(MinionReports reports) {
    requireNonNull(reports, "reports is null");
    long atMillis = monotonicMillis.getAsLong() - RESTORED_AGE_MILLIS;
    for (MinionReport report : reports.getReportsList()) {
      byId.putIfAbsent(report.getLife().getMinionId(), new Registration(report, atMillis));
    }
  }

  /**
   * Returns what is worth keeping for a restart, if it has changed since the last call.
   *
   * @return where minions are, or empty if that is as before
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

  // What changes with each report and is of no use to the leader.
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
