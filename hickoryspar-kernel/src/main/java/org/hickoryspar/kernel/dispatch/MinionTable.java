package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.hickoryspar.kernel.reports.ReceivedReports;
import org.hickoryspar.kernel.reports.ReportFingerprint;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.MinionReport;
import org.hickoryspar.protocol.MinionReports;
import org.jspecify.annotations.Nullable;

/** The known minions, each with its newest life. */
final class MinionTable {

  /** Receives the new life of a minion, or the minion that replaces it at its address. */
  interface NewLifeListener {
    void onNewLife(Minion previous, Minion newLife, long nowMillis);
  }

  /** An idle minion that has neither reported nor responded for this long is removed. */
  private static final long REMOVAL_MILLIS = 15_000;

  private final Map<String, Minion> byId = new LinkedHashMap<>();
  private final DispatchListener listener;
  private final NewLifeListener newLifeListener;

  /**
   * Creates an empty table.
   *
   * @param listener receives the events of minions that join, drain and leave
   * @param newLifeListener receives the previous and the new life of a replaced minion
   */
  MinionTable(DispatchListener listener, NewLifeListener newLifeListener) {
    this.listener = listener;
    this.newLifeListener = newLifeListener;
  }

  Collection<Minion> all() {
    return Collections.unmodifiableCollection(byId.values());
  }

  @Nullable Minion find(MinionLife life) {
    Minion minion = byId.get(life.getMinionId());
    return minion != null && minion.life().equals(life) ? minion : null;
  }

  /**
   * Returns the minion of a recorded life, possibly with a newer life; adds a provisional one if
   * the minion is unknown.
   */
  Minion findOrAdd(MinionLife life, long nowMillis) {
    Minion known = byId.get(life.getMinionId());
    if (known != null) {
      return known;
    }
    Minion added = Minion.provisional(MinionReport.getDefaultInstance(), life, nowMillis);
    addProvisional(added, "recorded run");
    return added;
  }

  void handleReport(MinionReport report, long nowMillis) {
    if (report.getAgeMillis() > ReceivedReports.MAX_AGE_MILLIS) {
      handleStaleReport(report, nowMillis);
      return;
    }
    Minion known = byId.get(report.getLife().getMinionId());
    long bornMillis = report.getLife().getBornMillis();
    if (known == null) {
      add(report, nowMillis);
    } else if (bornMillis > known.life().getBornMillis()) {
      Minion newLife = new Minion(report, nowMillis);
      replace(known, newLife, nowMillis);
      updateClock(newLife, nowMillis);
    } else if (bornMillis == known.life().getBornMillis()
        && report.getSequence() > known.report().getSequence()) {
      boolean startsDraining = report.getDraining() && !known.report().getDraining();
      boolean wasProvisional = known.isProvisional();
      known.update(report, nowMillis);
      updateClock(known, nowMillis);
      if (wasProvisional) {
        listener.onEvent(DispatchEventKind.MINION_CONFIRMED, known.id(), "bornMillis", bornMillis);
      }
      if (startsDraining) {
        listener.onEvent(
            DispatchEventKind.MINION_DRAINING,
            known.id(),
            "remainingMillis",
            report.getDrainRemainingMillis());
      }
    }
  }

  /**
   * Returns the fingerprints of those reports in a message, and of those confirmed earlier, that
   * are not held as the current state of a minion.
   */
  List<Long> findMissing(MinionReports message) {
    List<Long> missing = new ArrayList<>();
    message.getReportsList().stream()
        .filter(report -> !report.getLeaving() && !isCurrent(report))
        .map(ReportFingerprint::of)
        .forEach(missing::add);
    if (message.getConfirmedCount() > 0) {
      Set<Long> held = heldFingerprints();
      message.getConfirmedList().stream()
          .filter(fingerprint -> !held.contains(fingerprint))
          .forEach(missing::add);
    }
    return missing;
  }

  private boolean isCurrent(MinionReport report) {
    Minion known = byId.get(report.getLife().getMinionId());
    return known != null
        && !known.isProvisional()
        && known.fingerprint() == ReportFingerprint.of(report);
  }

  private Set<Long> heldFingerprints() {
    return byId.values().stream()
        .filter(minion -> !minion.isProvisional())
        .map(Minion::fingerprint)
        .collect(Collectors.toSet());
  }

  /**
   * Handles the announcement of a minion that its process is about to end. It may arrive late, when
   * the minion has a newer life.
   *
   * @param life the life that announces its end; without a time of birth if that is unknown
   */
  void handleLeave(MinionLife life, long nowMillis) {
    Minion known = byId.get(life.getMinionId());
    if (known == null) {
      return;
    }
    long knownBornMillis = known.life().getBornMillis();
    listener.onEvent(
        DispatchEventKind.MINION_LEAVING,
        known.id(),
        "bornMillis",
        life.getBornMillis(),
        "knownBornMillis",
        knownBornMillis,
        "draining",
        known.report().getDraining());
    boolean lifeKnown = life.getBornMillis() != 0;
    if (!lifeKnown || life.getBornMillis() == knownBornMillis) {
      known.markLeaving(lifeKnown, nowMillis);
    }
  }

  // A stale report provides an address to which renewals can be sent. It does not show whether the
  // minion accepts work.
  private void handleStaleReport(MinionReport report, long nowMillis) {
    Minion known = byId.get(report.getLife().getMinionId());
    if (known == null) {
      addProvisional(Minion.provisional(report, nowMillis), "stale report");
    } else if (!known.isAddressKnown() && known.life().equals(report.getLife())) {
      known.updateLocation(report);
    }
  }

  private void addProvisional(Minion minion, String source) {
    byId.put(minion.id(), minion);
    announceProvisional(minion, source);
  }

  private void announceProvisional(Minion minion, String source) {
    listener.onEvent(
        DispatchEventKind.MINION_PROVISIONAL,
        minion.id(),
        "bornMillis",
        minion.life().getBornMillis(),
        "source",
        source);
  }

  private void add(MinionReport report, long nowMillis) {
    Minion minion = new Minion(report, nowMillis);
    for (Minion other : List.copyOf(byId.values())) {
      boolean sameAddress = other.report().getAddress().equals(report.getAddress());
      if (sameAddress && other.life().getBornMillis() < report.getLife().getBornMillis()) {
        replace(other, minion, nowMillis);
      }
    }
    byId.put(minion.id(), minion);
    updateClock(minion, nowMillis);
    listener.onEvent(
        DispatchEventKind.MINION_JOINED,
        minion.id(),
        "bornMillis",
        report.getLife().getBornMillis(),
        "address",
        report.getAddress(),
        "dataCentre",
        report.getDataCentre(),
        "rack",
        report.getRack());
  }

  /** Handles a renewal response from a newer life of the minion than the one it was sent to. */
  void handleNewLife(Minion known, long bornMillis, long nowMillis) {
    if (bornMillis <= known.life().getBornMillis()) {
      return;
    }
    MinionLife life = known.life().toBuilder().setBornMillis(bornMillis).build();
    Minion newLife = Minion.provisional(known.report(), life, nowMillis);
    replace(known, newLife, nowMillis);
    announceProvisional(newLife, "renewal response");
  }

  private void replace(Minion previous, Minion newLife, long nowMillis) {
    byId.remove(previous.id());
    byId.put(newLife.id(), newLife);
    listener.onEvent(
        DispatchEventKind.MINION_GONE,
        previous.id(),
        "bornMillis",
        previous.life().getBornMillis(),
        "successor",
        newLife.id(),
        "successorBornMillis",
        newLife.life().getBornMillis());
    newLifeListener.onNewLife(previous, newLife, nowMillis);
  }

  /** Removes idle minions that have been silent for too long. */
  void sweep(long nowMillis) {
    for (Minion minion : new ArrayList<>(byId.values())) {
      long lastContactMillis =
          Math.max(minion.lastReportMillis(), minion.lease().lastResponseMillis());
      if (minion.isIdle() && nowMillis - lastContactMillis > REMOVAL_MILLIS) {
        byId.remove(minion.id());
        listener.onEvent(
            DispatchEventKind.MINION_GONE,
            minion.id(),
            "silentMillis",
            nowMillis - lastContactMillis);
      }
    }
  }

  private static void updateClock(Minion minion, long nowMillis) {
    MinionReport report = minion.report();
    if (report.getClockMillis() > 0) {
      minion.clock().update(report.getClockMillis(), nowMillis - report.getAgeMillis());
    }
  }
}
