package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.hickoryspar.kernel.catalog.CatalogState;
import org.hickoryspar.kernel.reports.ReceivedReports;
import org.hickoryspar.kernel.reports.ReportFingerprint;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.MinionReport;
import org.hickoryspar.protocol.MinionReports;
import org.jspecify.annotations.Nullable;

/**
 * The known minions, each with its newest life.
 *
 * <p>Anyone may send a report. One that names a service of no catalog changes nothing. Any other
 * one changes what is known of its own life only; that a life has ended is shown by a response of
 * the life that is now in its place, see {@link UnprovenLives}, or by its expired lease.
 */
final class MinionTable {

  /** Receives the new life of a minion, or the minion that replaces it at its address. */
  interface NewLifeListener {
    void onNewLife(Minion previous, Minion newLife, long nowMillis);
  }

  /** An idle minion that has neither reported nor responded for this long is removed. */
  private static final long REMOVAL_MILLIS = 15_000;

  private final Map<String, Minion> byId = new LinkedHashMap<>();
  private final CatalogState catalog;
  private final UnprovenLives unprovenLives;
  private final IgnoredReports ignoredReports;
  private final DispatchListener listener;
  private final NewLifeListener newLifeListener;

  /**
   * Creates an empty table.
   *
   * @param catalog names the services; may change later
   * @param listener receives the events of minions that join, drain and leave
   * @param newLifeListener receives the previous and the new life of a replaced minion
   */
  MinionTable(CatalogState catalog, DispatchListener listener, NewLifeListener newLifeListener) {
    this.catalog = catalog;
    this.unprovenLives = new UnprovenLives(listener);
    this.ignoredReports = new IgnoredReports(listener);
    this.listener = listener;
    this.newLifeListener = newLifeListener;
  }

  Collection<Minion> all() {
    return Collections.unmodifiableCollection(byId.values());
  }

  /** Returns the minions to which renewals are sent: the known ones and the unproven lives. */
  List<Minion> allToRenew() {
    List<Minion> minions = new ArrayList<>(byId.values());
    minions.addAll(unprovenLives.all());
    return minions;
  }

  /** Returns a known or unproven life, or null if there is none. */
  @Nullable Minion find(MinionLife life) {
    Minion minion = byId.get(life.getMinionId());
    return minion != null && minion.life().equals(life) ? minion : unprovenLives.find(life);
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
    if (!namesKnownService(report)) {
      ignoredReports.add(report, nowMillis);
      return;
    }
    if (report.getAgeMillis() > ReceivedReports.MAX_AGE_MILLIS) {
      handleStaleReport(report, nowMillis);
      return;
    }
    Minion known = byId.get(report.getLife().getMinionId());
    if (known != null && known.life().equals(report.getLife())) {
      update(known, report, nowMillis);
    } else if (findRivals(report).isEmpty()) {
      add(report, nowMillis);
    } else {
      unprovenLives.handleReport(report, nowMillis);
    }
  }

  // A minion may outlive its service in the catalog. The runs of a life that is known only from
  // them show the service to which it belongs.
  private boolean namesKnownService(MinionReport report) {
    Minion known = byId.get(report.getLife().getMinionId());
    return catalog.view().hasService(report.getService())
        || (known != null && known.belongsTo(report.getService()));
  }

  /** Returns the minions that a life cannot exist beside: of its identifier or its address. */
  private List<Minion> findRivals(MinionReport report) {
    return byId.values().stream()
        .filter(
            other ->
                other.id().equals(report.getLife().getMinionId()) || other.hasAddressOf(report))
        .toList();
  }

  private void update(Minion known, MinionReport report, long nowMillis) {
    if (report.getSequence() <= known.report().getSequence()) {
      return;
    }
    boolean startsDraining = report.getDraining() && !known.report().getDraining();
    boolean wasProvisional = known.isProvisional();
    known.update(report, nowMillis);
    updateClock(known, nowMillis);
    if (wasProvisional) {
      listener.onEvent(
          DispatchEventKind.MINION_CONFIRMED,
          known.id(),
          "bornMillis",
          known.life().getBornMillis());
    }
    if (startsDraining) {
      listener.onEvent(
          DispatchEventKind.MINION_DRAINING,
          known.id(),
          "remainingMillis",
          report.getDrainRemainingMillis());
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
    unprovenLives.remove(life);
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

  private void put(Minion minion) {
    byId.put(minion.id(), minion);
    unprovenLives.removeUntil(minion.life());
  }

  private void addProvisional(Minion minion, String source) {
    put(minion);
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
    put(minion);
    updateClock(minion, nowMillis);
    announceJoined(minion);
  }

  private void announceJoined(Minion minion) {
    listener.onEvent(
        DispatchEventKind.MINION_JOINED,
        minion.id(),
        "bornMillis",
        minion.life().getBornMillis(),
        "address",
        minion.report().getAddress(),
        "dataCentre",
        minion.dataCentre(),
        "rack",
        minion.rack());
  }

  /**
   * Handles what a response to a renewal shows: which life is at the address of a minion.
   *
   * @param asked the known or unproven life that the renewal was sent to
   * @param bornMillis when the life that responded started, 0 if the response does not say so
   * @return whether the life that was asked has responded; it is a known one from then on
   */
  boolean handleResponder(Minion asked, long bornMillis, long nowMillis) {
    boolean isKnown = byId.get(asked.id()) == asked;
    if (bornMillis == 0 || bornMillis == asked.life().getBornMillis()) {
      if (!isKnown) {
        putInPlace(asked, nowMillis);
      }
      return true;
    }
    MinionLife responder = asked.life().toBuilder().setBornMillis(bornMillis).build();
    if (!isKnown) {
      unprovenLives.refute(asked, "another life responds");
    }
    Minion known = byId.get(asked.id());
    if (known != null && (isKnown || isSucceededBy(known, responder))) {
      replaceByResponder(known, asked, responder, nowMillis);
    }
    return false;
  }

  /**
   * Handles that another minion responds at the address of a life.
   *
   * @return whether the life was an unproven one, which is removed
   */
  boolean handleOtherResponder(Minion asked) {
    return unprovenLives.refute(asked, "another minion responds");
  }

  // A life that has never responded may have been reported by anyone.
  private static boolean isSucceededBy(Minion known, MinionLife responder) {
    return responder.getBornMillis() > known.life().getBornMillis()
        || (!known.lease().hasResponded() && !responder.equals(known.life()));
  }

  /** Replaces all minions in whose place a life has responded. */
  private void putInPlace(Minion proven, long nowMillis) {
    boolean isNew = !byId.containsKey(proven.id());
    for (Minion rival : findRivals(proven.report())) {
      replace(rival, proven, nowMillis);
    }
    put(proven);
    if (isNew) {
      announceJoined(proven);
    }
  }

  // The state of the responder is known if it was reported at the address that has responded.
  private void replaceByResponder(
      Minion known, Minion asked, MinionLife responder, long nowMillis) {
    Minion reported = unprovenLives.remove(responder);
    if (reported != null && reported.hasAddressOf(asked.report())) {
      putInPlace(reported, nowMillis);
      return;
    }
    Minion newLife = Minion.provisional(asked.report(), responder, nowMillis);
    replace(known, newLife, nowMillis);
    announceProvisional(newLife, "renewal response");
  }

  private void replace(Minion previous, Minion newLife, long nowMillis) {
    byId.remove(previous.id());
    put(newLife);
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

  /** Removes idle minions and unproven lives that have been silent for too long. */
  void sweep(long nowMillis) {
    ignoredReports.sweep(nowMillis);
    unprovenLives.sweep(nowMillis, REMOVAL_MILLIS);
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
