package org.hickoryspar.kernel.reports;

import static java.util.Objects.requireNonNull;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.MinionReport;
import org.hickoryspar.protocol.MinionReports;
import org.hickoryspar.protocol.MinionReportsReply;
import org.jspecify.annotations.Nullable;

/**
 * The latest reports of minions that a control daemon has received, and whether the leader has
 * confirmed them. Reads no clock and performs no I/O. Not thread-safe.
 *
 * <p>Anyone may send a report under any identifier. Reports are therefore kept by life and service,
 * and only those of one life and service supersede each other. Which of them is from the minion
 * itself is decided by the leader, which confirms no other.
 *
 * <p>A report that does not differ from a confirmed one is not sent to the leader. The leader may
 * no longer hold what it has confirmed, because another leader or another session has started or
 * because it has removed the minion. The daemon therefore asks regularly whether the leader still
 * holds the confirmed reports, and sends those that it does not hold.
 *
 * <pre>{@code
 * reports.add(report, nowMillis).ifPresent(this::sendToLeader);
 * reports.confirmationRequest(nowMillis).ifPresent(this::sendToLeader);
 * reports.handleReply(message, reply, nowMillis).ifPresent(this::sendToLeader);
 * }</pre>
 */
public final class ReceivedReports {

  /** A report that is several heartbeats old no longer shows the current state of its minion. */
  public static final long MAX_AGE_MILLIS = 5_000;

  /** A minion that has been silent for this long is not reported to a new leader. */
  private static final long RETENTION_MILLIS = 15_000;

  /** Age assigned to restored reports, which were received before this process started. */
  private static final long RESTORED_AGE_MILLIS = 60_000;

  /** Maximum number of lives and services that are kept under one identifier. */
  private static final int MAX_ENTRIES_PER_MINION = 8;

  private final Map<String, List<Entry>> byId = new LinkedHashMap<>();
  private long nextSweepMillis = Long.MIN_VALUE;
  private boolean changedSinceSnapshot;

  /** Creates an empty collection. */
  public ReceivedReports() {}

  /**
   * Adds a report of a minion. Reports may arrive late, twice or out of order.
   *
   * @param report the report
   * @param nowMillis monotonic time in milliseconds
   * @return the message to send to the leader; empty if the leader has confirmed this state, or if
   *     the report is outdated
   */
  public Optional<MinionReports> add(MinionReport report, long nowMillis) {
    requireNonNull(report, "report is null");
    sweepIfDue(nowMillis);
    Entry entry = new Entry(report, nowMillis);
    List<Entry> entries = entriesOf(entry.minionId());
    Entry previous = find(entries, report);
    if (previous != null && previous.sequence() >= entry.sequence()) {
      return Optional.empty();
    }
    replace(previous, entry);
    boolean isSameState = previous != null && previous.fingerprint == entry.fingerprint;
    changedSinceSnapshot |= !isSameState;
    entry.confirmed = previous != null && isSameState && previous.confirmed;
    // The last report of a life may come late. A further one shows that this life goes on.
    boolean mayBeLate =
        previous == null && entries.stream().anyMatch(entry::isOfEarlierLifeThanConfirmed);
    return entry.confirmed || mayBeLate
        ? Optional.empty()
        : Optional.of(message(List.of(entry), nowMillis));
  }

  private List<Entry> entriesOf(String minionId) {
    return byId.getOrDefault(minionId, List.of());
  }

  private List<Entry> allEntries() {
    return byId.values().stream().flatMap(List::stream).toList();
  }

  private static @Nullable Entry find(List<Entry> entries, MinionReport report) {
    return entries.stream()
        .filter(entry -> entry.hasLifeAndServiceOf(report))
        .findFirst()
        .orElse(null);
  }

  private void replace(@Nullable Entry previous, Entry entry) {
    List<Entry> entries = byId.computeIfAbsent(entry.minionId(), id -> new ArrayList<>());
    if (previous == null) {
      entries.add(entry);
    } else {
      entries.set(entries.indexOf(previous), entry);
    }
    if (entries.size() > MAX_ENTRIES_PER_MINION) {
      entries.stream()
          .filter(other -> other != entry && !other.confirmed)
          .min(Comparator.comparingLong(other -> other.receivedMillis))
          .ifPresent(entries::remove);
    }
  }

  private void sweepIfDue(long nowMillis) {
    if (nowMillis >= nextSweepMillis) {
      nextSweepMillis = nowMillis + RETENTION_MILLIS;
      removeSilent(nowMillis);
    }
  }

  private void removeSilent(long nowMillis) {
    long maxAgeMillis = RETENTION_MILLIS + RESTORED_AGE_MILLIS;
    byId.values()
        .forEach(entries -> entries.removeIf(entry -> entry.ageMillis(nowMillis) > maxAgeMillis));
    byId.values().removeIf(List::isEmpty);
  }

  /**
   * Removes a minion that announces that its process is about to end. The life that it speaks of is
   * the one that has reported here and that the leader has confirmed, if it has confirmed any; it
   * is unknown if no life or more than one comes into question.
   *
   * @param minionId identifier of the minion
   * @return the message to send to the leader
   */
  public MinionReports remove(String minionId) {
    MinionLife life = findLife(requireNonNull(minionId, "minionId is null"));
    byId.remove(minionId);
    changedSinceSnapshot = true;
    return MinionReports.newBuilder()
        .addReports(MinionReport.newBuilder().setLife(life).setLeaving(true))
        .build();
  }

  private MinionLife findLife(String minionId) {
    List<Entry> entries = entriesOf(minionId);
    boolean anyConfirmed = entries.stream().anyMatch(entry -> entry.confirmed);
    Set<MinionLife> lives =
        entries.stream()
            .filter(entry -> entry.confirmed || !anyConfirmed)
            .map(entry -> entry.report.getLife())
            .collect(Collectors.toSet());
    return lives.size() == 1
        ? lives.iterator().next()
        : MinionLife.newBuilder().setMinionId(minionId).build();
  }

  /**
   * Handles the start of another leader, which has confirmed nothing yet. Removes the minions that
   * have long been silent.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return the message to send to the leader; empty if there are no reports
   */
  public Optional<MinionReports> handleLeaderChange(long nowMillis) {
    removeSilent(nowMillis);
    List<Entry> entries = allEntries();
    entries.forEach(entry -> entry.confirmed = false);
    return messageUnlessEmpty(entries, nowMillis);
  }

  /**
   * Returns the message that asks whether the leader still holds what it has confirmed.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return the message to send to the leader; empty if there is no recent report that the leader
   *     has confirmed
   */
  public Optional<MinionReports> confirmationRequest(long nowMillis) {
    List<Long> fingerprints =
        allEntries().stream()
            .filter(entry -> entry.confirmed && entry.isRecent(nowMillis))
            .map(entry -> entry.fingerprint)
            .toList();
    return fingerprints.isEmpty()
        ? Optional.empty()
        : Optional.of(MinionReports.newBuilder().addAllConfirmed(fingerprints).build());
  }

  /**
   * Handles the reply of the leader to a message.
   *
   * @param request the message
   * @param reply the reply of the leader
   * @param nowMillis monotonic time in milliseconds
   * @return the reports that the leader has confirmed earlier and no longer holds, to be sent to
   *     it; empty if there are none
   */
  public Optional<MinionReports> handleReply(
      MinionReports request, MinionReportsReply reply, long nowMillis) {
    requireNonNull(request, "request is null");
    Set<Long> missing = Set.copyOf(requireNonNull(reply, "reply is null").getMissingList());
    request.getReportsList().forEach(report -> recordReply(report, missing));
    List<Entry> forgotten = withdrawConfirmations(request, missing);
    forgotten.removeIf(entry -> !entry.isRecent(nowMillis));
    return messageUnlessEmpty(forgotten, nowMillis);
  }

  // The state may have changed since the report was sent.
  private void recordReply(MinionReport report, Set<Long> missing) {
    Entry entry = find(entriesOf(report.getLife().getMinionId()), report);
    if (entry != null && entry.fingerprint == ReportFingerprint.of(report)) {
      entry.confirmed = !missing.contains(entry.fingerprint);
      entriesOf(entry.minionId()).removeIf(other -> other.isOfEarlierLifeThanConfirmed(entry));
    }
  }

  private List<Entry> withdrawConfirmations(MinionReports request, Set<Long> missing) {
    Set<Long> withdrawn = new HashSet<>(request.getConfirmedList());
    withdrawn.retainAll(missing);
    List<Entry> entries = new ArrayList<>();
    for (Entry entry : allEntries()) {
      if (withdrawn.contains(entry.fingerprint)) {
        entry.confirmed = false;
        entries.add(entry);
      }
    }
    return entries;
  }

  /**
   * Returns the latest reports of the minions, for a leader in this process.
   *
   * @param nowMillis monotonic time in milliseconds
   * @return the reports with their ages
   */
  public List<MinionReport> all(long nowMillis) {
    return allEntries().stream().map(entry -> entry.withAge(nowMillis)).toList();
  }

  /**
   * Adds reports that an earlier process of this instance saved. They provide the addresses of
   * minions; their age shows the leader that they do not describe the current state.
   *
   * @param reports reports that {@link #snapshotIfChanged} returned
   * @param nowMillis monotonic time in milliseconds
   */
  public void restore(MinionReports reports, long nowMillis) {
    requireNonNull(reports, "reports is null");
    for (MinionReport report : reports.getReportsList()) {
      if (find(entriesOf(report.getLife().getMinionId()), report) == null) {
        replace(null, new Entry(report, nowMillis - RESTORED_AGE_MILLIS));
      }
    }
  }

  /**
   * Returns the reports to save for a restart, if they have changed since the last call.
   *
   * @return the reports without their times, or empty if they are unchanged
   */
  public Optional<MinionReports> snapshotIfChanged() {
    if (!changedSinceSnapshot) {
      return Optional.empty();
    }
    changedSinceSnapshot = false;
    MinionReports.Builder reports = MinionReports.newBuilder();
    allEntries().forEach(entry -> reports.addReports(withoutTimes(entry.report)));
    return Optional.of(reports.build());
  }

  private static MinionReport withoutTimes(MinionReport report) {
    return report.toBuilder().clearSequence().clearClockMillis().clearAgeMillis().build();
  }

  private static Optional<MinionReports> messageUnlessEmpty(
      Collection<Entry> entries, long nowMillis) {
    return entries.isEmpty() ? Optional.empty() : Optional.of(message(entries, nowMillis));
  }

  private static MinionReports message(Collection<Entry> entries, long nowMillis) {
    MinionReports.Builder message = MinionReports.newBuilder();
    entries.forEach(entry -> message.addReports(entry.withAge(nowMillis)));
    return message.build();
  }

  /** The latest report of one life in one service. */
  private static final class Entry {

    private final MinionReport report;
    private final long fingerprint;
    private final long receivedMillis;
    private boolean confirmed;

    Entry(MinionReport report, long receivedMillis) {
      this.report = report;
      this.fingerprint = ReportFingerprint.of(report);
      this.receivedMillis = receivedMillis;
    }

    String minionId() {
      return report.getLife().getMinionId();
    }

    long sequence() {
      return report.getSequence();
    }

    boolean hasLifeAndServiceOf(MinionReport other) {
      return report.getLife().equals(other.getLife())
          && report.getService().equals(other.getService());
    }

    boolean isOfEarlierLifeThanConfirmed(Entry other) {
      return other.confirmed
          && other.minionId().equals(minionId())
          && report.getLife().getBornMillis() < other.report.getLife().getBornMillis();
    }

    long ageMillis(long nowMillis) {
      return nowMillis - receivedMillis;
    }

    /** Returns whether the leader would accept the report as the current state. */
    boolean isRecent(long nowMillis) {
      return ageMillis(nowMillis) <= MAX_AGE_MILLIS;
    }

    MinionReport withAge(long nowMillis) {
      return report.toBuilder().setAgeMillis(ageMillis(nowMillis)).build();
    }
  }
}
