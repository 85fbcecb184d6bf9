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
  private static final long TELL_LIMIT_MILLIS = 800;

  private static final long KEEP_MILLIS = 15_000;

  private final LeaderCalls leader;
  private final LongSupplier monotonicMillis;

  /** Age that a report from before the start of this process is given. */
  private static final long OLD_MILLIS = 60_000;

  private final Map<String, Entry> byId = new ConcurrentHashMap<>();
  private final AtomicBoolean changed = new AtomicBoolean();

  /**
   * Creates an empty registry.
   *
   * @param leader sends calls to the leader
   * @param monotonicMillis a clock that never goes back
   */
  public MinionRegistry(LeaderCalls leader, LongSupplier monotonicMillis) {
    this.leader = requireNonNull(leader, "leader is null");
    this.monotonicMillis = requireNonNull(monotonicMillis, "monotonicMillis is null");
  }

  /**
   * Takes in a report.
   *
   * @param report the report
   * @return whether the leader knows it; false if that is not known
   */
  public CompletableFuture<Boolean> report(MinionReport report) {
    requireNonNull(report, "report is null");
    Entry entry = new Entry(report, monotonicMillis.getAsLong());
    Entry before = byId.get(report.getLife().getMinionId());
    if (before != null && before.isNewerThan(report)) {
      return CompletableFuture.completedFuture(true);
    }
    byId.put(report.getLife().getMinionId(), entry);
    if (before == null || !saysTheSame(before.report, report)) {
      changed.set(true);
    }
    if (before != null && before.isTold && saysTheSame(before.report, report)) {
      entry.isTold = true;
      return CompletableFuture.completedFuture(true);
    }
    return tell(List.of(entry));
  }

  /**
   * Takes note that a minion ends now.
   *
   * @param minionId the minion
   * @return whether the leader knows it
   */
  public CompletableFuture<Boolean> leave(String minionId) {
    requireNonNull(minionId, "minionId is null");
    byId.remove(minionId);
    changed.set(true);
    MinionReport leaving =
        MinionReport.newBuilder()
            .setLife(MinionLife.newBuilder().setMinionId(minionId))
            .setLeaving(true)
            .build();
    return tell(List.of(new Entry(leaving, monotonicMillis.getAsLong())));
  }

  /** Tells a new leader all that is known. */
  public void leaderChanged() {
    long now = monotonicMillis.getAsLong();
    byId.values().removeIf(entry -> now - entry.atMillis > KEEP_MILLIS + OLD_MILLIS);
    List<Entry> all = new ArrayList<>(byId.values());
    all.forEach(entry -> entry.isTold = false);
    if (!all.isEmpty()) {
      tell(all);
    }
  }

  /**
   * Returns all that is known, for a leader in this process.
   *
   * @return the newest report of each minion
   */
  public List<MinionReport> known() {
    long now = monotonicMillis.getAsLong();
    return byId.values().stream().map(entry -> entry.aged(now)).toList();
  }

  /**
   * Takes in what a process of this instance knew before it ended. Such a report tells where a
   * minion can be asked; it is not taken for its state.
   *
   * @param reports what {@link #saved} returned
   */
  public void restore(MinionReports reports) {
    requireNonNull(reports, "reports is null");
    long atMillis = monotonicMillis.getAsLong() - OLD_MILLIS;
    for (MinionReport report : reports.getReportsList()) {
      byId.putIfAbsent(report.getLife().getMinionId(), new Entry(report, atMillis));
    }
  }

  /**
   * Returns what is worth keeping for a restart, if it has changed since the last call.
   *
   * @return where minions are, or empty if that is as before
   */
  public Optional<MinionReports> saved() {
    if (!changed.getAndSet(false)) {
      return Optional.empty();
    }
    MinionReports.Builder reports = MinionReports.newBuilder();
    byId.values().forEach(entry -> reports.addReports(placeOf(entry.report)));
    return Optional.of(reports.build());
  }

  private static MinionReport placeOf(MinionReport report) {
    return report.toBuilder().clearSequence().clearClockMillis().clearAgeMillis().build();
  }

  private CompletableFuture<Boolean> tell(List<Entry> entries) {
    long now = monotonicMillis.getAsLong();
    MinionReports.Builder reports = MinionReports.newBuilder();
    entries.forEach(entry -> reports.addReports(entry.aged(now)));
    return leader
        .call(Envelope.newBuilder().setMinionReports(reports), TELL_LIMIT_MILLIS)
        .thenApply(
            result -> {
              if (result.isSuccess()) {
                entries.forEach(entry -> entry.isTold = true);
              }
              return result.isSuccess();
            });
  }

  private static boolean saysTheSame(MinionReport before, MinionReport after) {
    return normal(before).equals(normal(after));
  }

  // What changes with each report and is of no use to the leader.
  private static MinionReport normal(MinionReport report) {
    return report.toBuilder()
        .clearSequence()
        .clearClockMillis()
        .clearAgeMillis()
        .clearDrainRemainingMillis()
        .setColdRemainingMillis(report.getColdRemainingMillis() > 0 ? 1 : 0)
        .build();
  }

  private static final class Entry {

    private final MinionReport report;
    private final long atMillis;
    private volatile boolean isTold;

    Entry(MinionReport report, long atMillis) {
      this.report = report;
      this.atMillis = atMillis;
    }

    boolean isNewerThan(MinionReport other) {
      long born = report.getLife().getBornMillis();
      long otherBorn = other.getLife().getBornMillis();
      return born > otherBorn || (born == otherBorn && report.getSequence() >= other.getSequence());
    }

    MinionReport aged(long nowMillis) {
      return report.toBuilder().setAgeMillis(nowMillis - atMillis).build();
    }
  }
}
