package org.hickoryspar.kernel.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hickoryspar.protocol.MinionLife;
import org.hickoryspar.protocol.MinionReport;
import org.jspecify.annotations.Nullable;

/**
 * Lives of minions that were reported in the place of a known minion, under its identifier or at
 * its address, and have not responded yet.
 *
 * <p>A report speaks for the minion that it names. It does not show that another minion, or an
 * earlier life of the same one, no longer runs: that one may go on with its tasks, and a second
 * start of them would run beside the first. Such a life therefore replaces nothing and gets no work
 * until it has responded to a renewal at its own address.
 */
final class UnprovenLives {

  private final Map<MinionLife, Minion> byLife = new LinkedHashMap<>();
  private final DispatchListener listener;

  UnprovenLives(DispatchListener listener) {
    this.listener = listener;
  }

  List<Minion> all() {
    return List.copyOf(byLife.values());
  }

  @Nullable Minion find(MinionLife life) {
    return byLife.get(life);
  }

  /**
   * Adds the life of a report, or updates it. A report that arrives out of order is ignored, and so
   * is one with another address: a response would not show from which of the two it is.
   */
  void handleReport(MinionReport report, long nowMillis) {
    Minion known = byLife.get(report.getLife());
    if (known == null) {
      byLife.put(report.getLife(), new Minion(report, nowMillis));
      listener.onEvent(
          DispatchEventKind.LIFE_UNPROVEN,
          report.getLife().getMinionId(),
          "bornMillis",
          report.getLife().getBornMillis(),
          "address",
          report.getAddress());
    } else if (known.hasAddressOf(report) && report.getSequence() > known.report().getSequence()) {
      known.update(report, nowMillis);
    }
  }

  /** Removes a life; returns null if there is none. */
  @Nullable Minion remove(MinionLife life) {
    return byLife.remove(life);
  }

  /** Removes a life that is not where it was reported; returns whether there was one. */
  boolean refute(Minion minion, String because) {
    boolean present = byLife.remove(minion.life(), minion);
    if (present) {
      listener.onEvent(
          DispatchEventKind.LIFE_REFUTED,
          minion.id(),
          "bornMillis",
          minion.life().getBornMillis(),
          "address",
          minion.report().getAddress(),
          "because",
          because);
    }
    return present;
  }

  /** Removes the lives of a minion that are not later than one that is proven. */
  void removeUntil(MinionLife proven) {
    byLife
        .keySet()
        .removeIf(
            life ->
                life.getMinionId().equals(proven.getMinionId())
                    && life.getBornMillis() <= proven.getBornMillis());
  }

  /** Removes the lives of which no report has arrived for some time. */
  void sweep(long nowMillis, long maxSilenceMillis) {
    for (Minion minion : new ArrayList<>(byLife.values())) {
      if (nowMillis - minion.lastReportMillis() > maxSilenceMillis) {
        refute(minion, "no response");
      }
    }
  }
}
